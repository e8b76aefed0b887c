"""The task that follows the platform's lagging list of instances."""

from __future__ import annotations

import trio

from galenavane.entry import configuration_task
from galenavane.entry import view as views
from galenavane.platform import backoff

WATCHER_POLL_SECONDS = 1.0
OTHER_POLL_SECONDS = 5.0
MAX_RETRY_SECONDS = 5.0


async def run(view: views.View) -> None:
    """Read the list regularly until cancelled; an outage keeps the last list."""
    tries = 0
    while True:
        found = await view.platform.instances()
        if found.is_ok():
            tries = 0
            view.instances.publish(found.ok.instances)
            await trio.sleep(_period(view) * view.rng.uniform(0.8, 1.2))
        else:
            tries += 1
            await trio.sleep(
                backoff.delay(tries, WATCHER_POLL_SECONDS, MAX_RETRY_SECONDS, view.rng)
            )


def _period(view: views.View) -> float:
    if configuration_task.is_watcher(view):
        return WATCHER_POLL_SECONDS
    return OTHER_POLL_SECONDS
