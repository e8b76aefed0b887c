"""Task that watches the assignment tables in the platform."""

from __future__ import annotations

import trio

from galenavane.config import settings
from galenavane.control import table
from galenavane.entry import view as views
from galenavane.observe import events

WATCH_TIMEOUT_SECONDS = 2.0
RETRY_DELAY_SECONDS = 0.5


async def run(view: views.View) -> None:
    """Watch the tables until cancelled; in a large deployment only that of this data centre."""
    revision = 0
    own_key = table.key(view.cfg.get(settings.DATA_CENTRE))
    while True:
        prefix = own_key if view.is_large() else table.TABLE_PREFIX
        changes = await view.platform.watch(prefix, revision, WATCH_TIMEOUT_SECONDS)
        if changes.is_error():
            await trio.sleep(RETRY_DELAY_SECONDS)
            continue
        revision = max(revision, changes.ok.revision)
        _publish_newer(
            view, [table.decode(changed.value) for changed in changes.ok.objects if changed.value]
        )


def _publish_newer(view: views.View, offered: list[table.Table]) -> None:
    """Publish the tables that are newer than the known ones; older ones are ignored."""
    merged = dict(view.tables.value)
    for offered_table in offered:
        known = merged.get(offered_table.data_centre)
        if known is None or table.is_newer(offered_table, known):
            merged[offered_table.data_centre] = offered_table
        elif table.is_newer(known, offered_table):
            events.log(
                "table.older", data_centre=offered_table.data_centre, token=offered_table.token
            )
    if merged != view.tables.value:
        view.tables.publish(merged)
