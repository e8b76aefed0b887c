"""The task that removes old idempotency records while the lease of the data centre is held."""

from __future__ import annotations

import itertools

import trio

from galenavane.config import settings
from galenavane.entry import view as views
from galenavane.observe import events
from galenavane.serve import record, sweep

DELETE_EVERY_SECONDS = 0.05


async def run(view: views.View) -> None:
    """List one shard after another and delete what is past its lifetime, until cancelled."""
    data_centre = view.cfg.get(settings.DATA_CENTRE)
    for step in itertools.count(view.rng.randrange(record.SHARDS)):
        names = {one.data_centre for one in view.instances.value}
        await trio.sleep(sweep.pause_seconds(names))
        if view.token.value is not None:
            shards = sweep.own_shards(data_centre, names)
            await sweep_shard(view, shards[step % len(shards)])


async def sweep_shard(view: views.View, shard: int) -> None:
    """Delete the old records of a shard; each only as it was listed."""
    listed = await view.platform.list_objects(record.shard_prefix(shard))
    if listed.is_error():
        return
    old = sweep.choose_old(listed.ok.objects, events.wall_seconds())
    for one in old:
        removed = await view.platform.delete(one.key, one.version)
        if removed.is_error():
            events.log("record.kept", key=one.key, code=removed.error.code.name)
        await trio.sleep(DELETE_EVERY_SECONDS)
    if old:
        events.log("record.swept", shard=shard, count=len(old))
