"""Steps that simulate requests to heads with a fixed number of batch slots."""

from __future__ import annotations

import heapq
import math
import random

from behave import given, then, when
from steps import fleet_target_registry

from galenavane.route import head_capacity, head_choice

TARGET_SECONDS = 0.25
SEEDS = 20


class SimulationResult:
    """Times to first event and refusals of simulated callers."""

    def __init__(self):
        self.first_event_seconds = []
        self.refused = 0
        self.refused_with_free_slot = 0


def simulate_seeds(load, seconds, is_limited):
    """Simulate a load with several seeds and return the results of all callers."""
    total = SimulationResult()
    for seed in range(SEEDS):
        result = simulate(*load, seconds, is_limited, seed)
        total.first_event_seconds += result.first_event_seconds
        total.refused += result.refused
        total.refused_with_free_slot += result.refused_with_free_slot
    return total


def simulate(rate, heads, seconds, is_limited, seed):
    """Simulate requests to the least loaded head; each takes a slot for the time of its stream."""
    constants = fleet_target_registry.make_engine()
    model = fleet_target_registry.SMALL
    limit = head_capacity.limit(constants, model, TARGET_SECONDS)
    stream_seconds = head_capacity.slot_free_seconds(constants, model) * constants.slots
    base_seconds = head_capacity.first_event_seconds(constants, model, 674)
    rng = random.Random(seed)
    end_times = [[] for _ in range(heads)]
    result = SimulationResult()
    now = 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        for queue in end_times:
            while queue and queue[0] <= now:
                heapq.heappop(queue)
        candidates = [
            head_choice.Candidate(str(number), len(queue), True)
            for number, queue in enumerate(end_times)
        ]
        picked = head_choice.pick(candidates, set(), 6, limit if is_limited else math.inf, rng)
        queue = end_times[int(picked.head)]
        if is_limited and len(queue) >= limit:
            result.refused += 1
            result.refused_with_free_slot += len(queue) < constants.slots
            continue
        is_queued = len(queue) >= constants.slots
        starts_at = sorted(queue)[len(queue) - constants.slots] if is_queued else now
        result.first_event_seconds.append(starts_at - now + base_seconds)
        heapq.heappush(queue, starts_at + stream_seconds * rng.uniform(0.5, 1.5))
    return result


@given("{rate:d} requests per second for a model of which {heads:d} of 6 groups serve")
def set_load(context, rate, heads):
    context.load = (rate, heads)


@when("they are simulated for {seconds:d} s with a limit on each head")
def simulate_limited(context, seconds):
    context.limited = simulate_seeds(context.load, seconds, True)


@when("they are simulated for {seconds:d} s without a limit")
def simulate_unlimited(context, seconds):
    context.unlimited = simulate_seeds(context.load, seconds, False)


def share_in_time(result):
    """Return the share of all callers that got their first event in time."""
    in_time = sum(seconds <= TARGET_SECONDS for seconds in result.first_event_seconds)
    return in_time / (len(result.first_event_seconds) + result.refused)


@then("with the limit at least {share:g} of all callers get their first event in time")
def check_limited(context, share):
    assert share_in_time(context.limited) >= share, share_in_time(context.limited)


@then("these are at least {factor:g} times as many as without the limit")
def check_unlimited(context, factor):
    assert share_in_time(context.limited) >= factor * share_in_time(context.unlimited)


@then("with the limit no accepted caller waits over {seconds:g} s, after which callers disconnect")
def check_waits(context, seconds):
    assert max(context.limited.first_event_seconds) <= seconds, max(
        context.limited.first_event_seconds
    )


@then("no caller is refused while a head has a free slot")
def check_free(context):
    assert context.limited.refused_with_free_slot == 0


@then("the retry times of {count:d} callers refused at once are spread over at least {seconds:g} s")
def check_spread(context, count, seconds):
    rng = random.Random(1)
    constants = fleet_target_registry.make_engine()
    times = [
        head_capacity.retry_after_seconds(constants, fleet_target_registry.SMALL, 0, rng.random())
        for _ in range(count)
    ]
    assert max(times) - min(times) >= seconds


def measure_imbalance(rate, heads, seconds, late_seconds, entries, seed=5):
    """Return the highest ratio of a head's load to the mean when entries see loads late."""
    rng = random.Random(seed)
    stream_seconds = 1.0
    end_times = [[] for _ in range(heads)]
    seen_loads = [0] * heads
    seen_at = now = 0.0
    worst_ratio = 0.0
    while (now := now + rng.expovariate(rate)) < seconds:
        for queue in end_times:
            while queue and queue[0] <= now:
                heapq.heappop(queue)
        if now >= seen_at + late_seconds:
            seen_at = now
            seen_loads = [len(queue) for queue in end_times]
        candidates = [
            head_choice.Candidate(str(head), seen_loads[head], True) for head in range(heads)
        ]
        picked = head_choice.pick(candidates, set(), entries, math.inf, rng)
        heapq.heappush(end_times[int(picked.head)], now + stream_seconds)
        if now > 2 * stream_seconds:
            mean = sum(len(queue) for queue in end_times) / heads
            worst_ratio = max(worst_ratio, max(len(queue) for queue in end_times) / mean)
    return worst_ratio


@given(
    "{entries:d} entries that send {rate:d} requests per second to {heads:d} heads "
    "and see loads {late:g} s late"
)
def set_late_loads(context, entries, rate, heads, late):
    context.late_loads = (entries, rate, heads, late)


@when("they pick heads for {seconds:d} s")
def pick_heads(context, seconds):
    entries, rate, heads, late = context.late_loads
    context.worst_ratio = measure_imbalance(rate, heads, seconds, late, entries)
    context.naive_ratio = measure_imbalance(rate, heads, seconds, late, 1)


@then("the most loaded head has at most a third of its load when all heads are compared")
def check_spread_loads(context):
    assert context.worst_ratio <= context.naive_ratio / 3, (
        context.worst_ratio,
        context.naive_ratio,
    )
