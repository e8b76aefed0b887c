"""The task that follows the platform's lagging list of instances."""

from __future__ import annotations

import dataclasses

import trio

from galenavane.config import settings
from galenavane.entry import configuration_task
from galenavane.entry import view as views
from galenavane.store import backoff, instance

WATCHER_POLL_SECONDS = 1.0
OTHER_POLL_SECONDS = 5.0
MAX_RETRY_SECONDS = 5.0


@dataclasses.dataclass(slots=True, frozen=True)
class _Asked:
    """What was asked last.

    :ivar scope: data centre, empty for all.
    :ivar version: of the list that is known.
    """

    scope: str
    version: int


async def run(view: views.View) -> None:
    """Read the list regularly until cancelled; an outage keeps the last list."""
    tries = 0
    asked = _Asked("", 0)
    while True:
        scope = view.cfg.get(settings.DATA_CENTRE) if view.is_large() else ""
        if scope != asked.scope:
            asked = _Asked(scope, 0)
        found = await view.platform.list_instances(asked.scope, asked.version)
        if found.is_ok():
            tries = 0
            asked = _Asked(scope, found.ok.version)
            _take(view, found.ok)
            await trio.sleep(_period(view) * view.rng.uniform(0.8, 1.2))
        else:
            tries += 1
            await trio.sleep(
                backoff.delay(tries, WATCHER_POLL_SECONDS, MAX_RETRY_SECONDS, view.rng)
            )


def _take(view: views.View, found: instance.InstanceList) -> None:
    view.total_instances = found.total
    if found.instances is None:
        view.instances.publish(view.instances.value)
    else:
        view.instances.publish(found.instances)


def _period(view: views.View) -> float:
    if configuration_task.is_watcher(view):
        return WATCHER_POLL_SECONDS
    return OTHER_POLL_SECONDS
