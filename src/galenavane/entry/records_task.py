"""Task that deletes expired idempotency records while the lease of the data centre is held."""

from __future__ import annotations

import itertools

import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.serve import idempotency_record, record_sweep

DELETE_INTERVAL_SECONDS = 0.05


async def run(view: views.View) -> None:
    """Delete the expired records of one shard after another until cancelled."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    for step in itertools.count(view.rng.randrange(idempotency_record.SHARDS)):
        data_centres = {instance.data_centre for instance in view.instances.value}
        await trio.sleep(record_sweep.compute_pause_seconds(data_centres))
        if view.token.value is not None:
            shards = record_sweep.assign_shards(data_centre, data_centres)
            await sweep_shard(view, shards[step % len(shards)])


async def sweep_shard(view: views.View, shard: int) -> None:
    """Delete the expired records of a shard, each only if unchanged since it was listed."""
    listed = await view.platform.list_objects(idempotency_record.make_shard_prefix(shard))
    if listed.is_error():
        return
    expired = record_sweep.select_expired(listed.ok.objects, events.wall_seconds())
    for stored_record in expired:
        removed = await view.platform.delete(stored_record.key, stored_record.version)
        if removed.is_error():
            events.log("record.kept", key=stored_record.key, code=removed.error.code.name)
        await trio.sleep(DELETE_INTERVAL_SECONDS)
    if expired:
        events.log("record.swept", shard=shard, count=len(expired))
