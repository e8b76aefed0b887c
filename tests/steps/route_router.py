"""Steps for the routing state machine."""

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


def make_group(name, slots, as_of=0.0, running=0, until=FOREVER):
    """Build the report of a group."""
    load = report.Load(running=running, capacity=slots)
    return group_report.GroupReport(name, name, name, 1, POOL, load, as_of, frozenset(), 0.0, until)


def make_request(number, deadline=FOREVER, priority=1, account="a"):
    """Build a routing request."""
    return grant.RoutingRequest(
        str(number), account, "s", "m", "1", "", priority, "", 10, 10, deadline
    )


@given("a router with 1 group of {slots:d} slots")
def make_router(context, slots):
    context.router = state.State()
    context.rng = random.Random(1)
    context.decisions = []
    context.slots = slots
    router.update_groups(context.router, [make_group("g", slots)], 0.0)


@when(
    "routed requests of classes 1, 1, 1 and 0 arrive and the first one ends",
)
def arrive_classes(context):
    for number, priority in enumerate((1, 1, 1, 0)):
        req = make_request(number, priority=priority)
        context.decisions += router.submit(context.router, req, ACCOUNT, set(), 0.1, context.rng)
    assert len(context.decisions) == 1
    result = grant.AttemptResult(0.1, 10, False)
    context.decisions += router.release(
        context.router, context.decisions[0].grant, result, 1.0, context.rng
    )


@then("the routed request of class 0 has been granted second")
def check_highest_class(context):
    assert [granted.grant.request.priority for granted in context.decisions] == [1, 0]


@when(
    '{count:d} routed requests of account "a" arrive within {seconds:d} seconds with deadlines '
    "{left:d} seconds later"
)
def arrive_many(context, count, seconds, left):
    for number in range(count):
        now = seconds * number / count
        req = make_request(number, now + left)
        context.decisions += router.submit(context.router, req, ACCOUNT, set(), now, context.rng)
        for decided in list(context.decisions):
            result = grant.AttemptResult(0.1, 10, False)
            if isinstance(decided, decision.Granted) and now - decided.grant.sent_at > 1.0:
                context.decisions += router.release(
                    context.router, decided.grant, result, now, context.rng
                )
        context.decisions += router.step(context.router, now, context.rng)


@then("some routed requests are refused with code DEADLINE, outcome not_run and a retry time")
def check_refused(context):
    refused = [
        decided.failure for decided in context.decisions if isinstance(decided, decision.Refused)
    ]
    assert refused
    for error in refused:
        assert error.code is code.Code.DEADLINE
        assert error.outcome is outcome.Outcome.NOT_RUN
        assert error.retry_after_seconds >= 1.0


@then("no routed request is granted after its deadline")
def check_granted(context):
    granted = [
        decided.grant for decided in context.decisions if isinstance(decided, decision.Granted)
    ]
    assert granted
    assert all(accepted.sent_at < accepted.request.deadline for accepted in granted)


@then("at most {most:d} routed requests wait")
def check_waiting(context, most):
    assert 0 < context.router.admissions[POOL].queue.size <= most


@when("{count:d} routed requests arrive as retries")
def arrive_retries(context, count):
    for number in range(count):
        context.decisions += router.submit(
            context.router, make_request(number), ACCOUNT, {"other"}, 0.0, context.rng
        )


@then("{count:d} routed retries are granted and the others refused with code RETRY_BUDGET")
def check_retries(context, count):
    granted = [decided for decided in context.decisions if isinstance(decided, decision.Granted)]
    refused = [decided for decided in context.decisions if isinstance(decided, decision.Refused)]
    assert len(granted) == count, len(granted)
    assert {decided.failure.code for decided in refused} == {code.Code.RETRY_BUDGET}


@when("the proof that the routed group is complete expires and a request arrives")
def expire_proof(context):
    router.update_groups(context.router, [make_group("g", 4, until=5.0)], 4.0)
    context.decisions += router.submit(
        context.router, make_request(1), ACCOUNT, set(), 5.1, context.rng
    )


@then("the routed request waits")
def check_waits(context):
    assert context.decisions == []
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
    """Apply events to the router; check each decision against the history so far."""
    router_state, rng, now = state.State(), random.Random(1), 0.0
    names = ("g", "h", "i")
    router.update_groups(router_state, [make_group(name, 4) for name in names], now)
    granted, ended, arrived, refused = [], set(), {}, set()
    for number, (kind, priority, count, seconds) in enumerate(events):
        now += seconds
        decisions = []
        if kind == "arrive":
            arrived[str(number)] = (priority, now)
            decisions = router.submit(
                router_state, make_request(number, priority=priority), ACCOUNT, set(), now, rng
            )
        elif kind == "report":
            as_of = max(0.0, now - 1.0)
            reports = [make_group(name, 4, as_of, count) for name in names]
            router.update_groups(router_state, reports, now)
        elif kind == "step":
            decisions = router.step(router_state, now, rng)
        elif len(granted) > len(ended):
            open_grant = next(
                accepted for accepted in granted if accepted.request.request_id not in ended
            )
            ended.add(open_grant.request.request_id)
            decisions = router.release(
                router_state, open_grant, grant.AttemptResult(0.1, 10, False), now, rng
            )
        for decided in decisions:
            if isinstance(decided, decision.Refused):
                refused.add(decided.request_id)
                continue
            check_naive_order(decided.grant, arrived, granted, refused)
            granted.append(decided.grant)
        check_naive_counts(router_state, granted, ended, names)


def check_naive_order(new_grant, arrived, granted, refused):
    """Check that a grant goes to the earliest request of the highest class that waits."""
    settled = {accepted.request.request_id for accepted in granted} | refused
    waiting = [(*arrived[name], int(name)) for name in arrived if name not in settled]
    assert (new_grant.request.priority, int(new_grant.request.request_id)) == (
        min(waiting)[0],
        min(waiting)[2],
    )


def check_naive_counts(router_state, granted, ended, names):
    """Check all counts of requests in flight against the history."""
    open_grants = [accepted for accepted in granted if accepted.request.request_id not in ended]
    for name in names:
        own = sum(accepted.candidate.name == name for accepted in open_grants)
        tracked = router_state.groups.by_name[name]
        assert router_state.in_flight.own_by_group.get(name, 0) == own
        assert choice.estimate_in_flight(router_state, tracked) == own + tracked.others_in_flight
    assert router_state.in_flight.own_by_pool.get(POOL.key(), 0) == len(open_grants)
    for accepted in open_grants:
        scores = pick.predict_first_token(accepted.candidate, accepted.request.prompt_tokens)
        assert scores >= pick.min_first_token(accepted.candidate, accepted.request.prompt_tokens)


@when("a routed request of an account with 1 token per second waits until its deadline")
def wait_until_deadline(context):
    context.account = declaration.Account("b", "", 1e9, 1.0)
    req = make_request(0)
    context.decisions += router.submit(context.router, req, ACCOUNT, set(), 0.0, context.rng)
    req = make_request(1, 0.5, account="b")
    assert not router.submit(context.router, req, context.account, set(), 0.0, context.rng)
    refused = router.step(context.router, 0.5, context.rng)
    assert [refusal.failure.code for refusal in refused] == [code.Code.DEADLINE]


@then("that account may send another routed request at once")
def send_more(context):
    req = make_request(2, account="b")
    decisions = router.submit(context.router, req, context.account, set(), 0.5, context.rng)
    assert decisions == [], decisions
