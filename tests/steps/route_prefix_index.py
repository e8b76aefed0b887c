"""Steps for the prefix index."""

from __future__ import annotations

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from steps import route_fair_queue

from galenavane.route import prefix_index
from galenavane.target import report

BLOCKS = [number * prefix_index.SAMPLING_INTERVAL for number in range(1, 9)]


def stored(first, blocks):
    """Return cache events that store blocks."""
    return [report.CacheEvent(first + offset, block, True) for offset, block in enumerate(blocks)]


@then("after random cache events the prefix index and a naive replay hold the same blocks")
def compare_index(context):
    event = strategies.tuples(
        strategies.sampled_from("gh"),
        strategies.sampled_from(BLOCKS),
        strategies.booleans(),
        strategies.integers(1, 2),
        strategies.sampled_from(["1", "1", "1", "2"]),
    )

    @route_fair_queue.SETTINGS
    @hypothesis.given(strategies.lists(event, max_size=40))
    def check(events):
        index, history, numbers = prefix_index.PrefixIndex(), [], {}
        for group, block, is_stored, step, incarnation in events:
            numbers[group] = numbers.get(group, 0) + step
            cache_event = report.CacheEvent(numbers[group], block, is_stored)
            index.apply_events(group, report.CacheEvents(incarnation, [cache_event]))
            history.append((group, incarnation, cache_event))
            for name in "gh":
                for wanted_block in BLOCKS:
                    expected = naive_weight(history, name, wanted_block)
                    assert index.cached_blocks([wanted_block]).get(name, 0.0) == expected

    check()


def naive_weight(history, group, block):
    """Replay all events of a group; return the weighted count of one block."""
    held, last, incarnation = {}, 0, ""
    for name, new_incarnation, event in history:
        if name != group:
            continue
        if incarnation and new_incarnation != incarnation:
            held, last = {}, 0
        incarnation = new_incarnation
        if event.number != last + 1:
            held = dict.fromkeys(held, prefix_index.UNCERTAIN_WEIGHT)
        last = event.number
        held.pop(event.block, None)
        if event.stored:
            held[event.block] = 1.0
    return held.get(block, 0.0)


@given('a prefix index that holds 8 blocks of group "{group}"')
def fill_index(context, group):
    context.index = prefix_index.PrefixIndex()
    context.index.apply_events(group, report.CacheEvents("1", stored(1, BLOCKS)))
    assert context.index.cached_blocks(BLOCKS) == {group: 8.0}


@when('the prefix index misses an event of group "{group}"')
def miss_event(context, group):
    context.index.apply_events(group, report.CacheEvents("1", stored(10, [1])))


@when('group "{group}" sends the prefix index events of a new incarnation')
def change_incarnation(context, group):
    context.index.apply_events(group, report.CacheEvents("2", []))


@then('the prefix index counts {count:d} blocks of group "{group}"')
def check_count(context, group, count):
    assert context.index.cached_blocks(BLOCKS).get(group, 0.0) == count


@then("a prefix index limited to 64 blocks holds at most 64 after 1000 were added for 5 groups")
def check_bound(context):
    index = prefix_index.PrefixIndex(64)
    for number in range(1000):
        index.add_expected(f"g{number % 5}", [number * prefix_index.SAMPLING_INTERVAL])
    assert index.size() <= 64, index.size()
