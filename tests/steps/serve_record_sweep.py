"""Steps for the removal of expired idempotency records."""

from __future__ import annotations

import collections
import types

import expression
import trio
from behave import then

from galenavane.entry import records_task
from galenavane.observe import events
from galenavane.serve import idempotency_record, record_sweep
from galenavane.simulate import virtual_clock
from galenavane.standin import platform_store

NOW = 1_800_000_000.0


def make_record(hours, attempt="a"):
    started = NOW - hours * 3600
    return idempotency_record.Record(
        "hash", attempt, idempotency_record.Phase.ANSWERED, started, started + 60
    )


@then("the shards of {count:d} data centres are 4096, each swept by one data centre")
def check_shards(context, count):
    names = [f"dc-{number}" for number in range(count)]
    swept = collections.Counter(
        shard for name in names for shard in record_sweep.assign_shards(name, names)
    )
    assert len(swept) == 4096
    assert set(swept.values()) == {1}


@then("the sweep of {count:d} data centres lists 0.2 shards per second in total")
def check_rate(context, count):
    names = [f"dc-{number}" for number in range(count)]
    assert abs(count / record_sweep.compute_pause_seconds(names) - 0.2) < 1e-9


@then("of records from 1, 23 and 25 hours ago and an invalid one, only the oldest is expired")
def check_old(context):
    store = platform_store.ObjectStore()
    for hours in (1, 23, 25):
        store.put(f"record/000/{hours}", idempotency_record.encode(make_record(hours)), 0)
    store.put("record/000/damaged", "{", 0)
    expired = record_sweep.select_expired(
        store.list_objects(idempotency_record.make_shard_prefix(0)).objects, NOW
    )
    assert [stored_record.key for stored_record in expired] == ["record/000/25"]


class ChangingPlatform:
    """Platform that rewrites a record right after it was listed."""

    def __init__(self):
        self.store = platform_store.ObjectStore()

    async def list_objects(self, prefix):
        await trio.lowlevel.checkpoint()
        listed = self.store.list_objects(prefix)
        self.store.put("record/000/changed", idempotency_record.encode(make_record(0, "b")), None)
        return expression.Ok(listed)

    async def delete(self, key, if_version):
        await trio.lowlevel.checkpoint()
        done = self.store.put(key, "", if_version)
        error = types.SimpleNamespace(code=types.SimpleNamespace(name="PLATFORM_CONFLICT"))
        return expression.Ok(0) if done else expression.Error(error)


@then("a sweep keeps a record that is written between list and delete")
def check_changed(context):
    platform = ChangingPlatform()
    for name in ("changed", "old"):
        platform.store.put(f"record/000/{name}", idempotency_record.encode(make_record(25)), 0)

    async def main():
        events.set_source(events.Source("entry", "here", "i", lambda: NOW))
        await records_task.sweep_shard(types.SimpleNamespace(platform=platform), 0)

    virtual_clock.run(main, 1)
    assert platform.store.get("record/000/old").version == 0
    assert idempotency_record.decode(platform.store.get("record/000/changed").value).attempt == "b"
