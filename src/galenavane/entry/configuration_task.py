"""The task that follows the configuration in force."""

from __future__ import annotations

import expression
import trio

from galenavane.config import accept, in_force
from galenavane.config import head as heads
from galenavane.entry import view as views
from galenavane.failure import failure
from galenavane.observe import events

WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Read the head, then watch it, until cancelled."""
    revision = 0
    while True:
        found = await view.platform.watch(heads.HEAD_KEY, revision, WATCH_SECONDS)
        if found.is_error():
            await trio.sleep(RETRY_SECONDS)
            continue
        for changed in found.ok.objects:
            if changed.value:
                taken = await _take(view, heads.decode(changed.value))
                if taken.is_error():
                    break
        else:
            revision = max(revision, found.ok.revision)
            continue
        await trio.sleep(RETRY_SECONDS)


async def _take(view: views.View, head: heads.Head) -> expression.Result[None, failure.Failure]:
    current = view.configuration.value
    if current is not None and head.generation <= current.head.generation:
        return expression.Ok(None)
    declared = await accept.read_sections(view.platform, head)
    if declared.is_error():
        return expression.Error(declared.error)
    chosen = in_force.choose(view.configuration.value, in_force.InForce(head, declared.ok))
    if chosen.head is head:
        events.log("config.in_force", generation=head.generation, preset=head.preset, by="platform")
        view.configuration.publish(chosen)
    return expression.Ok(None)
