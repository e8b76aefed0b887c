"""Steps for objects of other writers that can't be decoded."""

from __future__ import annotations

import json

import msgspec
import trio
from behave import then, when
from steps import gateway_whole_path, platform_pages

from galenavane.gateway import lease_task, peers_task
from galenavane.observe import events

plan_step = gateway_whole_path.plan_step
KINDS = {
    "targets": "servers",
    "entries": peers_task.ENTRIES_KIND,
    "configurations": "config",
    "leases": lease_task.LEASE_KIND,
}


def nest(depth):
    """Return an object with lists in lists."""
    return b'{"backend":"desk","zone":%b%b}' % (b"[" * depth, b"]" * depth)


def encode(**changes):
    """Return a target's object with changes."""
    return json.dumps({**platform_pages.describe(), **changes}).encode()


VALUES = {
    "a text that is no UTF-8": b'{"note":"\\udcff\\udcfe"}',
    "lists nested 300 deep": nest(300),
    "lists nested 3000 deep": nest(3000),
    "lists nested 8000 deep": nest(8000),
    "slots of 10**30": encode(slots=10**30),
    "a number of 5000 digits": b'{"slots":%b}' % (b"9" * 5000),
    "null": b"null",
    "texts that look like brackets": b'{"note":"\\"}]},{[\\udcff"}',
    "an address that is none": b'{"address":"no address","data_centre":"dc","bandwidth":9e9}',
    "a version of 10**30": b'{"version":%d}' % 10**30,
    "a token of 10**30": b'{"holder":"x/1","token":%d,"renewal":1}' % 10**30,
}


def put(store, kind, name, what):
    """Write an object as another writer does."""
    known = {"configurations": "main", "leases": lease_task.LEASE_NAME}
    if what.startswith(("a version", "a token")) or kind == "leases":
        name = known[kind]
    store.put(KINDS[kind], name, msgspec.Raw(VALUES[what]))


@when('another writer puts {what} as "{name}" among the targets')
def put_target(context, what, name):
    if hasattr(context, "planned_steps"):
        put_later(context, what, name, "targets")
    else:
        put(context.store, "targets", name, what)


@when('another writer puts {what} as "{name}" among the configurations')
def put_config(context, what, name):
    if hasattr(context, "planned_steps"):
        put_later(context, what, name, "configurations")
    else:
        context.store.put("config", "main", {"version": 1})
        put(context.store, "configurations", name, what)


@when('another writer puts {what} as "{name}" among the entries')
def put_entry(context, what, name):
    put_later(context, what, name, "entries")


@when('another writer puts {what} as "{name}" among the leases')
def put_lease(context, what, name):
    put_later(context, what, name, "leases")


def put_later(context, what, name, kind):
    """Add a step that writes an object while an entry runs."""

    @plan_step(context)
    async def step(world):
        world.defects = []
        log = events.log

        def note(event, **fields):
            if event == "task.defect":
                world.defects.append(fields)
            log(event, **fields)

        events.log = note
        world.restore_log = lambda: setattr(events, "log", log)
        put(world.store, kind, name, what)
        await trio.sleep(1.0)


@then("no task of the entry has failed")
def check_defects(context):
    @plan_step(context)
    async def step(world):
        await trio.sleep(0.5)
        world.restore_log()
        assert world.defects == [], world.defects


@when('"{name}" leaves, and another writer puts {what} as "{odd_name}" again')
def change_both(context, name, what, odd_name):
    put(context.store, "targets", odd_name, what)
    context.store.put("servers", name, platform_pages.describe("draining"))
    put(context.store, "targets", odd_name, what)


@then('a watch from the list\'s revision brings "{name}" as leaving')
def check_leaving(context, name):
    revision = context.listing.ok.revision
    watched = platform_pages.run_with_client(
        context, lambda client: client.watch_targets(revision, 0.05)
    )
    found = [change.id for change in watched.ok.changes if change.target is not None]
    assert found == [name], watched.ok
    assert all(change.target.is_leaving for change in watched.ok.changes if change.target)


@when('another writer puts lists nested 8000 deep under a name that is no UTF-8 after "{after}"')
def put_odd_name(context, after):
    name = after + "zz"
    context.store.put("servers", name, msgspec.Raw(VALUES["lists nested 8000 deep"]))
    stored = context.store.objects["servers"][name]
    stored["metadata"] = {"name": msgspec.Raw(b'"%b\\udcff"' % after.encode()), "revision": 9}


@then("the configuration can be read")
def check_config(context):
    found = platform_pages.run_with_client(context, lambda client: client.read_config())
    context.config_revision = found.ok.revision
    assert json.loads(found.ok.value) == {"version": 1}


@when('the configuration changes, and another writer puts {what} as "{name}" again')
def change_config(context, what, name):
    put(context.store, "configurations", name, what)
    context.store.put("config", "main", {"version": 2})


@then("the change of the configuration is seen")
def check_config_change(context):
    revision = context.config_revision
    watched = platform_pages.run_with_client(
        context, lambda client: client.watch_config(revision, 0.05)
    )
    values = {found.name: found.value for found in watched.ok.objects}
    assert json.loads(values["main"]) == {"version": 2}, values
