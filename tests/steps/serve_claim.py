"""Steps for claiming idempotency keys on a fake platform."""

from __future__ import annotations

import expression
import msgspec
import trio
from behave import given, then

from galenavane.failure import code, failure, outcome
from galenavane.net import headers, message
from galenavane.serve import claim, idempotency_record
from galenavane.simulate import virtual_clock
from galenavane.standin import platform_store
from galenavane.store import stored

KEY = idempotency_record.make_key("account", "service", "key")
WALL = 1000.0
RUN_UNTIL = 1060.0


class FakePlatform:
    """Object API backed by the stand-in's store, with faults on single writes.

    :ivar lost_answer: number of the write whose response is lost; 0 for none.
    :ivar dropped_write: number of the write that never reaches the store; 0 for none.
    :ivar delayed_write: number of the write that is applied later; 0 for none.
    """

    def __init__(self, lost_answer=0, dropped_write=0, delayed_write=0, is_down=False):
        self.store = platform_store.ObjectStore()
        self.writes = 0
        self.lost_answer = lost_answer
        self.dropped_write = dropped_write
        self.delayed_write = delayed_write
        self.is_down = is_down
        self.late_writes = []

    async def get(self, key):
        await trio.lowlevel.checkpoint()
        if self.is_down:
            return make_error(code.Code.PLATFORM_DOWN)
        return expression.Ok(self.store.get(key))

    async def put(self, key, value, if_version):
        await trio.lowlevel.checkpoint()
        self.writes += 1
        if self.is_down:
            return make_error(code.Code.PLATFORM_DOWN)
        if self.writes == self.delayed_write:
            self.late_writes.append((key, value, if_version))
        if self.writes in (self.dropped_write, self.delayed_write):
            return make_error(code.Code.PLATFORM_UNKNOWN)
        done = self.store.put(key, value, if_version)
        if self.writes == self.lost_answer:
            return make_error(code.Code.PLATFORM_UNKNOWN)
        version = self.store.get(key).version
        return expression.Ok(version) if done else make_error(code.Code.PLATFORM_CONFLICT)


def make_error(failure_code):
    return expression.Error(failure.Failure(failure_code, failure_code.name))


def make_record(attempt, body="body"):
    return idempotency_record.Record(
        body, attempt, idempotency_record.Phase.STARTED, WALL, RUN_UNTIL
    )


def run(function, *args):
    return virtual_clock.run(function, 1, *args)


def claim_key(context, attempt, body="body"):
    return run(claim.claim_key, context.platform, KEY, make_record(attempt, body))


@given("a record store")
def make_platform(context):
    context.platform = FakePlatform()
    context.claims = {}


@given("a record store that is down")
def make_down(context):
    context.platform = FakePlatform(is_down=True)


@given("a record store that loses the response to write {number:d}")
def make_lossy(context, number):
    context.platform = FakePlatform(lost_answer=number)


@given("a record store that drops write {number:d}")
def make_dropping(context, number):
    context.platform = FakePlatform(dropped_write=number)


@given("a record store that delays write {number:d} past write 4")
def make_delaying(context, number):
    context.platform = FakePlatform(delayed_write=number)


@then('attempt "{attempt}" claims the key')
def check_claimed(context, attempt):
    result = claim_key(context, attempt)
    assert result.is_ok(), result
    assert isinstance(result.ok, claim.Claim)
    context.claims = {attempt: result.ok}


@then('attempt "{attempt}" fails with not_run')
def check_refused(context, attempt):
    assert claim_key(context, attempt).error.outcome is outcome.Outcome.NOT_RUN


@then('attempt "{attempt}" fails with in_progress')
def check_in_progress(context, attempt):
    result = claim.make_repeat_failure(claim_key(context, attempt).ok, WALL + 1)
    assert result.code is code.Code.IN_PROGRESS


@then('attempt "{attempt}" after run_until fails with outcome_unknown')
def check_lapsed(context, attempt):
    result = claim.make_repeat_failure(claim_key(context, attempt).ok, RUN_UNTIL + 1)
    assert result.code is code.Code.OUTCOME_UNKNOWN


@then('attempt "{attempt}" with another body fails with key_reused')
def check_reused(context, attempt):
    assert claim_key(context, attempt, "other").error.code is code.Code.KEY_REUSED


@then('attempt "{attempt}" ends as {phase}')
def end_attempt(context, attempt, phase):
    claimed = context.claims[attempt]
    response = message.Response(201, headers.Headers().add("location", "/jobs/1"), b"done")
    final_record = msgspec.structs.replace(claimed.record, phase=idempotency_record.Phase(phase))
    if phase == "answered":
        final_record = idempotency_record.make_answered(claimed.record, response)
    assert run(claim.record_outcome, context.platform, claimed, final_record)


@then('attempt "{attempt}" gets the recorded response')
def check_answer(context, attempt):
    response = idempotency_record.make_response(claim_key(context, attempt).ok)
    assert (response.status, response.body) == (201, b"done")
    assert response.headers.get("location") == "/jobs/1"


@then('attempts "{one}" and "{two}" at the same time result in one claim')
def claim_at_once(context, one, two):
    results = []

    async def claim_as(attempt):
        results.append(await claim.claim_key(context.platform, KEY, make_record(attempt)))

    async def main():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(claim_as, one)
            nursery.start_soon(claim_as, two)

    run(main)
    assert sum(isinstance(result.ok, claim.Claim) for result in results) == 1


@then("the delayed write arrives")
def arrive_late(context):
    for delayed_write in context.platform.late_writes:
        context.platform.store.put(*delayed_write)


@then('attempt "{attempt}" still holds the key')
def check_holds(context, attempt):
    stored_record: stored.StoredObject = context.platform.store.get(KEY)
    assert idempotency_record.decode(stored_record.value).attempt == attempt
    assert stored_record.version == context.claims[attempt].version


@then("a response of {size:d} bytes is recorded without its body")
def check_too_large(context, size):
    recorded = idempotency_record.make_answered(
        make_record("a"), message.Response(200, body=b"x" * size)
    )
    assert (recorded.is_whole, recorded.body) == (False, "")
    assert claim.make_repeat_failure(recorded, WALL).code is code.Code.ANSWER_NOT_KEPT


@then("a response of {size:d} bytes is recorded in full")
def check_whole(context, size):
    recorded = idempotency_record.make_answered(
        make_record("a"), message.Response(200, body=b"x" * size)
    )
    assert idempotency_record.make_response(recorded).body == b"x" * size
