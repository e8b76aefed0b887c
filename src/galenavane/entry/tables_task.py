"""The task that follows the assignment tables."""

from __future__ import annotations

import trio

from galenavane.control import table
from galenavane.entry import view as views

WATCH_SECONDS = 2.0
RETRY_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Watch every data centre's table until cancelled."""
    revision = 0
    while True:
        found = await view.platform.watch(table.TABLE_PREFIX, revision, WATCH_SECONDS)
        if found.is_error():
            await trio.sleep(RETRY_SECONDS)
            continue
        revision = max(revision, found.ok.revision)
        offered = [table.decode(one.value) for one in found.ok.objects if one.value]
        if offered:
            merged = dict(view.tables.value)
            merged.update({one.data_centre: one for one in offered})
            view.tables.publish(merged)
