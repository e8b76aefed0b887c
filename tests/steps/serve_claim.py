"""Steps on idempotency records over a fake platform."""

from __future__ import annotations

import expression
import msgspec
import trio
from behave import given, then

from galenavane.failure import code, failure, outcome
from galenavane.net import headers, message
from galenavane.serve import claim, idempotency_record
from galenavane.simulate import clock
from galenavane.standin import platform_store
from galenavane.store import stored

KEY = idempotency_record.make_key("account", "service", "key")
WALL = 1000.0
RUN_UNTIL = 1060.0


class FakePlatform:
    """Object API over the stand-in's store; single writes misbehave by number."""

    def __init__(self, lost=0, dropped=0, delayed=0, down=False):
        self.store = platform_store.Store()
        self.writes = 0
        self.lost = lost
        self.dropped = dropped
        self.delayed = delayed
        self.down = down
        self.late = []

    async def get(self, key):
        await trio.lowlevel.checkpoint()
        if self.down:
            return failed(code.Code.PLATFORM_DOWN)
        return expression.Ok(self.store.get(key))

    async def put(self, key, value, if_version):
        await trio.lowlevel.checkpoint()
        self.writes += 1
        if self.down:
            return failed(code.Code.PLATFORM_DOWN)
        if self.writes == self.delayed:
            self.late.append((key, value, if_version))
        if self.writes in (self.dropped, self.delayed):
            return failed(code.Code.PLATFORM_UNKNOWN)
        done = self.store.put(key, value, if_version)
        if self.writes == self.lost:
            return failed(code.Code.PLATFORM_UNKNOWN)
        version = self.store.get(key).version
        return expression.Ok(version) if done else failed(code.Code.PLATFORM_CONFLICT)


def failed(found):
    return expression.Error(failure.Failure(found, found.name))


def wanted(attempt, body="body"):
    return idempotency_record.Record(
        body, attempt, idempotency_record.Phase.STARTED, WALL, RUN_UNTIL
    )


def run(function, *args):
    return clock.run(function, 1, *args)


def claim_key(context, attempt, body="body"):
    return run(claim.claim_key, context.platform, KEY, wanted(attempt, body))


@given("a record platform")
def make_platform(context):
    context.platform = FakePlatform()
    context.claims = {}


@given("a record platform that is down")
def make_down(context):
    context.platform = FakePlatform(down=True)


@given("a record platform that loses the answer of write {number:d}")
def make_lossy(context, number):
    context.platform = FakePlatform(lost=number)


@given("a record platform that drops write {number:d}")
def make_dropping(context, number):
    context.platform = FakePlatform(dropped=number)


@given("a record platform that delays write {number:d} past write 4")
def make_delaying(context, number):
    context.platform = FakePlatform(delayed=number)


@then('attempt "{attempt}" claims the key')
def check_claimed(context, attempt):
    found = claim_key(context, attempt)
    assert found.is_ok(), found
    assert isinstance(found.ok, claim.Claim)
    context.claims = {attempt: found.ok}


@then('attempt "{attempt}" is told not_run')
def check_refused(context, attempt):
    assert claim_key(context, attempt).error.outcome is outcome.Outcome.NOT_RUN


@then('attempt "{attempt}" is told in_progress')
def check_in_progress(context, attempt):
    found = claim.make_repeat_failure(claim_key(context, attempt).ok, WALL + 1)
    assert found.code is code.Code.IN_PROGRESS


@then('attempt "{attempt}" after the lapse is told outcome_unknown')
def check_lapsed(context, attempt):
    found = claim.make_repeat_failure(claim_key(context, attempt).ok, RUN_UNTIL + 1)
    assert found.code is code.Code.OUTCOME_UNKNOWN


@then('attempt "{attempt}" with another body is told key_reused')
def check_reused(context, attempt):
    assert claim_key(context, attempt, "other").error.code is code.Code.KEY_REUSED


@then('attempt "{attempt}" ends as {phase}')
def end_attempt(context, attempt, phase):
    held = context.claims[attempt]
    answer = message.Response(201, headers.Headers().add("location", "/jobs/1"), b"done")
    ended = msgspec.structs.replace(held.record, phase=idempotency_record.Phase(phase))
    if phase == "answered":
        ended = idempotency_record.make_answered(held.record, answer)
    assert run(claim.record_outcome, context.platform, held, ended)


@then('attempt "{attempt}" gets the recorded answer')
def check_answer(context, attempt):
    answer = idempotency_record.make_response(claim_key(context, attempt).ok)
    assert (answer.status, answer.body) == (201, b"done")
    assert answer.headers.get("location") == "/jobs/1"


@then('attempts "{one}" and "{two}" at once make one claim')
def claim_at_once(context, one, two):
    found = []

    async def claim_one(attempt):
        found.append(await claim.claim_key(context.platform, KEY, wanted(attempt)))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim_one, one)
            nursery.start_soon(claim_one, two)

    run(main)
    assert sum(isinstance(each.ok, claim.Claim) for each in found) == 1


@then("the delayed write arrives")
def arrive_late(context):
    for late in context.platform.late:
        context.platform.store.put(*late)


@then('attempt "{attempt}" still holds the key')
def check_holds(context, attempt):
    found: stored.StoredObject = context.platform.store.get(KEY)
    assert idempotency_record.decode(found.value).attempt == attempt
    assert found.version == context.claims[attempt].version


@then("an answer of {size:d} bytes is recorded without its body")
def check_too_large(context, size):
    kept = idempotency_record.make_answered(wanted("a"), message.Response(200, body=b"x" * size))
    assert (kept.is_whole, kept.body) == (False, "")
    assert claim.make_repeat_failure(kept, WALL).code is code.Code.ANSWER_NOT_KEPT


@then("an answer of {size:d} bytes is recorded whole")
def check_whole(context, size):
    kept = idempotency_record.make_answered(wanted("a"), message.Response(200, body=b"x" * size))
    assert idempotency_record.make_response(kept).body == b"x" * size
