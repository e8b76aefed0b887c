"""Steps for lists that the store answers in pages."""

from __future__ import annotations

import re

import trio
from behave import given, then, when
from steps import platform_world

from galenavane.net import address, connection_pool, tcp
from galenavane.platform import store_client


def describe(state="ready"):
    """Return a target's object."""
    return {
        "backend": "desk",
        "address": "127.0.0.1:80",
        "zone": "dc",
        "state": state,
        "slots": 4,
        "born": 7,
    }


@given('a store with targets "a" to "f", two in a page')
def make_store(context):
    context.store = platform_world.Store()
    context.store.page_items = 2
    for name in "abcdef":
        context.store.put("servers", name, describe())


CHANGES = {
    "leaves": ["draining"],
    "is gone": [None],
    "is new": ["ready"],
    "leaves and is ready again": ["draining", "ready"],
    "is new and gone": ["ready", None],
}


@when('"{name}" {change} after the page that begins the list')
@when('"{name}" {change} after the page that begins after "{after}"')
def plan_change(context, name, change, after=""):
    def act(page_after):
        if page_after == after:
            for state in CHANGES[change]:
                context.store.put("servers", name, describe(state) if state else None)

    context.store.after_page = act


@when("the history is gone after the page that begins the list")
def plan_compaction(context):
    def act(page_after):
        context.store.put("servers", "a", describe("draining"))
        context.store.forget_history()

    context.store.after_page = act


def run_with_client(context, function):
    """Run a function with a client of the store."""

    async def main():
        with trio.fail_after(10):
            async with trio.open_nursery() as nursery:
                bound = await nursery.start(
                    tcp.make().listen,
                    address.Address(platform_world.HOST, 0),
                    context.store.handle,
                )
                client = store_client.make(connection_pool.make(tcp.make()), bound)
                result = await function(client)
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


@when("the targets are listed")
def list_targets(context):
    context.listing = run_with_client(context, lambda client: client.list_targets())
    context.store.after_page = None


@then('the list holds "{names}", of which {leaving} is leaving')
def check_list(context, names, leaving):
    listed = sorted(context.listing.ok.targets, key=lambda each: each.id)
    assert [each.id for each in listed] == names.split(), listed
    found = [each.id for each in listed if each.is_leaving]
    assert found == re.findall(r'"(\w+)"', leaving), listed


@then("a watch from the list's revision brings nothing")
@then('a watch from the list\'s revision brings "{name}"')
def check_watch(context, name=None):
    revision = context.listing.ok.revision
    watched = run_with_client(context, lambda client: client.watch_targets(revision, 0.05))
    found = [change.id for change in watched.ok.changes]
    assert found == ([name] if name else []), watched.ok


@then("the list fails with {code}")
def check_failure(context, code):
    assert context.listing.is_error(), context.listing.ok
    assert context.listing.error.code.name == code, context.listing.error
