"""The task that follows the platform's lagging list of instances."""

from __future__ import annotations

import trio

from galenavane.entry import view as views

POLL_SECONDS = 1.0


async def run(view: views.View) -> None:
    """Read the list every second until cancelled; an outage keeps the last list."""
    while True:
        found = await view.platform.instances()
        if found.is_ok():
            view.instances.publish(found.ok.instances)
        await trio.sleep(POLL_SECONDS)
