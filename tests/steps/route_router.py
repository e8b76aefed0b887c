"""Steps of the whole routing state machine."""

from __future__ import annotations

import random

import hypothesis
from behave import given, then, when
from hypothesis import strategies
from steps import route_fair_queue

from galenavane.config import declaration
from galenavane.failure import code, outcome
from galenavane.route import choice, decision, grant, group_report, pick, pool, router, state
from galenavane.target import report

POOL = pool.Pool("s", "m", "1")
ACCOUNT = declaration.Account("a", "", 1e9, 1e12)
FOREVER = 1e9


def make_group(name, places, as_of=0.0, running=0, until=FOREVER):
    """Build the facts of a group."""
    load = report.Load(running=running, capacity=places)
    return group_report.GroupReport(name, name, name, 1, POOL, load, as_of, frozenset(), 0.0, until)


def make_ask(number, deadline=FOREVER, priority=1, account="a"):
    """Build a request."""
    return grant.RoutingRequest(
        str(number), account, "s", "m", "1", "", priority, "", 10, 10, deadline
    )


@given("a router with 1 group of {places:d} places")
def make_router(context, places):
    context.router = state.State()
    context.rng = random.Random(1)
    context.found = []
    context.places = places
    router.update_groups(context.router, [make_group("g", places)], 0.0)


@when(
    "routed requests of classes 1, 1, 1 and 0 arrive and the first one ends",
)
def arrive_classes(context):
    for number, priority in enumerate((1, 1, 1, 0)):
        ask = make_ask(number, priority=priority)
        context.found += router.submit(context.router, ask, ACCOUNT, set(), 0.1, context.rng)
    assert len(context.found) == 1
    ended = grant.AttemptResult(0.1, 10, False)
    context.found += router.release(context.router, context.found[0].grant, ended, 1.0, context.rng)


@then("the routed request of class 0 has been granted second")
def check_first_class(context):
    assert [one.grant.request.priority for one in context.found] == [1, 0]


@when(
    '{count:d} routed requests of account "a" arrive within {seconds:d} seconds with {left:d} '
    "seconds to go"
)
def arrive_many(context, count, seconds, left):
    for number in range(count):
        now = seconds * number / count
        ask = make_ask(number, now + left)
        context.found += router.submit(context.router, ask, ACCOUNT, set(), now, context.rng)
        for one in list(context.found):
            ended = grant.AttemptResult(0.1, 10, False)
            if isinstance(one, decision.Granted) and now - one.grant.sent_at > 1.0:
                context.found += router.release(context.router, one.grant, ended, now, context.rng)
        context.found += router.step(context.router, now, context.rng)


@then("some routed requests are refused with code DEADLINE, not run and a retry time")
def check_refused(context):
    refused = [one.failure for one in context.found if isinstance(one, decision.Refused)]
    assert refused
    for found in refused:
        assert found.code is code.Code.DEADLINE
        assert found.outcome is outcome.Outcome.NOT_RUN
        assert found.retry_after_seconds >= 1.0


@then("no routed request is granted after its deadline")
def check_granted(context):
    granted = [one.grant for one in context.found if isinstance(one, decision.Granted)]
    assert granted
    assert all(one.sent_at < one.request.deadline for one in granted)


@then("at most {most:d} routed requests wait")
def check_waiting(context, most):
    assert 0 < context.router.admissions[POOL].queue.size <= most


@when("{count:d} routed requests arrive as retries")
def arrive_retries(context, count):
    for number in range(count):
        context.found += router.submit(
            context.router, make_ask(number), ACCOUNT, {"other"}, 0.0, context.rng
        )


@then("{count:d} routed retries are granted and the others refused with code RETRY_BUDGET")
def check_retries(context, count):
    granted = [one for one in context.found if isinstance(one, decision.Granted)]
    refused = [one for one in context.found if isinstance(one, decision.Refused)]
    assert len(granted) == count, len(granted)
    assert {one.failure.code for one in refused} == {code.Code.RETRY_BUDGET}


@when("the proof of the routed group lapses and a request arrives")
def lapse(context):
    router.update_groups(context.router, [make_group("g", 4, until=5.0)], 4.0)
    context.found += router.submit(context.router, make_ask(1), ACCOUNT, set(), 5.1, context.rng)


@then("the routed request waits")
def check_waits(context):
    assert context.found == []
    assert context.router.admissions[POOL].queue.size == 1


@then("random routing events give the same decisions as a naive recomputation")
def compare_router(context):
    event = strategies.tuples(
        strategies.sampled_from(["arrive", "arrive", "arrive", "release", "report", "step"]),
        strategies.integers(0, 1),
        strategies.integers(0, 6),
        strategies.floats(0.0, 1.0),
    )

    @route_fair_queue.SETTINGS
    @hypothesis.given(strategies.lists(event, max_size=40))
    def check(events):
        run_history(events)

    check()


def run_history(events):
    """Drive the router through events; check each decision against the history so far."""
    machine, rng, now = state.State(), random.Random(1), 0.0
    names = ("g", "h", "i")
    router.update_groups(machine, [make_group(name, 4) for name in names], now)
    granted, ended, arrived, refused = [], set(), {}, set()
    for number, (kind, priority, count, seconds) in enumerate(events):
        now += seconds
        found = []
        if kind == "arrive":
            arrived[str(number)] = (priority, now)
            found = router.submit(
                machine, make_ask(number, priority=priority), ACCOUNT, set(), now, rng
            )
        elif kind == "report":
            as_of = max(0.0, now - 1.0)
            facts = [make_group(name, 4, as_of, count) for name in names]
            router.update_groups(machine, facts, now)
        elif kind == "step":
            found = router.step(machine, now, rng)
        elif len(granted) > len(ended):
            held = next(one for one in granted if one.request.request_id not in ended)
            ended.add(held.request.request_id)
            found = router.release(machine, held, grant.AttemptResult(0.1, 10, False), now, rng)
        for one in found:
            if isinstance(one, decision.Refused):
                refused.add(one.request_id)
                continue
            check_naive_order(one.grant, arrived, granted, refused)
            granted.append(one.grant)
        check_naive_counts(machine, granted, ended, names)


def check_naive_order(held, arrived, granted, refused):
    """A grant goes to the first class that waits, and in it to the earliest of an account."""
    settled = {one.request.request_id for one in granted} | refused
    waiting = [(*arrived[name], int(name)) for name in arrived if name not in settled]
    assert (held.request.priority, int(held.request.request_id)) == (
        min(waiting)[0],
        min(waiting)[2],
    )


def check_naive_counts(machine, granted, ended, names):
    """Recount all requests in flight from the history."""
    open_grants = [one for one in granted if one.request.request_id not in ended]
    for name in names:
        own = sum(one.candidate.name == name for one in open_grants)
        tracked = machine.groups.by_name[name]
        assert machine.in_flight.own_by_group.get(name, 0) == own
        assert choice.estimate_in_flight(machine, tracked) == own + tracked.others_in_flight
    assert machine.in_flight.own_by_pool.get(POOL.key(), 0) == len(open_grants)
    for one in open_grants:
        scores = pick.predict_first_token(one.candidate, one.request.prompt_tokens)
        assert scores >= pick.min_first_token(one.candidate, one.request.prompt_tokens)


@when("a routed request of an account with 1 token a second waits until its deadline")
def wait_in_vain(context):
    context.account = declaration.Account("b", "", 1e9, 1.0)
    ask = make_ask(0)
    context.found += router.submit(context.router, ask, ACCOUNT, set(), 0.0, context.rng)
    ask = make_ask(1, 0.5, account="b")
    assert not router.submit(context.router, ask, context.account, set(), 0.0, context.rng)
    refused = router.step(context.router, 0.5, context.rng)
    assert [one.failure.code for one in refused] == [code.Code.DEADLINE]


@then("that account may send another routed request at once")
def send_more(context):
    ask = make_ask(2, account="b")
    found = router.submit(context.router, ask, context.account, set(), 0.5, context.rng)
    assert found == [], found
