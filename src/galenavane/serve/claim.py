"""Claims an idempotency key before a target sees the request."""

from __future__ import annotations

import dataclasses

import expression
import msgspec
import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.serve import idempotency_record as records
from galenavane.store import api, stored

MAX_CLAIM_TRIES = 4
CLAIM_PAUSE_SECONDS = 0.3
RETRY_AFTER_SECONDS = 1.0

_Code = codes.Code
_AMBIGUOUS_CODES = (_Code.PLATFORM_CONFLICT, _Code.PLATFORM_UNKNOWN)


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The right to run one keyed request.

    :ivar version: platform version of the record.
    """

    key: str
    version: int
    record: records.Record


ClaimResult = expression.Result[Claim | records.Record, failure.Failure]


async def claim_key(platform: api.Api, key: str, new_record: records.Record) -> ClaimResult:
    """Create the record, or take over one that was not run.

    Returns the claim, or the record of an earlier attempt. Every write is conditional and carries
    the attempt's id, so a write whose answer was lost is settled by reading back and may be made
    again: at most one of them takes effect.
    """
    version = 0
    cause = failure.Failure(_Code.PLATFORM_DOWN, "no answer")
    for _ in range(MAX_CLAIM_TRIES):
        put_result = await platform.put(key, records.encode(new_record), version)
        if put_result.is_ok():
            return expression.Ok(Claim(key, put_result.ok, new_record))
        cause = put_result.error
        if cause.code not in _AMBIGUOUS_CODES:
            break
        get_result = await platform.get(key)
        if get_result.is_error():
            await trio.sleep(CLAIM_PAUSE_SECONDS)
            continue
        version = get_result.ok.version
        resolved = _resolve_existing(key, get_result.ok, new_record)
        if resolved is not None:
            return resolved
    return expression.Error(_make_not_run_failure(cause))


def _resolve_existing(
    key: str, existing: stored.StoredObject, new_record: records.Record
) -> ClaimResult | None:
    """Return what a read of the record decides, ``None`` when it may be written now."""
    if existing.version == 0:
        return None
    try:
        earlier = records.decode(existing.value)
    except msgspec.DecodeError as exc:
        text = f'the record "{key}" is damaged: {exc}'
        return expression.Error(
            failure.Failure(_Code.OUTCOME_UNKNOWN, text, outcomes.Outcome.UNKNOWN)
        )
    if earlier.attempt == new_record.attempt:
        return expression.Ok(Claim(key, existing.version, earlier))
    if earlier.body_hash != new_record.body_hash:
        text = "the idempotency key was used with another request"
        return expression.Error(failure.Failure(_Code.KEY_REUSED, text))
    if earlier.phase is records.Phase.NOT_RUN:
        return None
    return expression.Ok(earlier)


async def record_outcome(platform: api.Api, claim: Claim, final_record: records.Record) -> bool:
    """Record how the claimed request ended; return whether that is known to be settled.

    A request that was not run keeps its record with that phase. Were it deleted, a create that
    is still under way could bring back the record of an attempt that has ended.
    """
    put_result = await platform.put(claim.key, records.encode(final_record), claim.version)
    if put_result.is_ok():
        return True
    if put_result.error.code not in _AMBIGUOUS_CODES:
        return False
    get_result = await platform.get(claim.key)
    return get_result.is_ok() and get_result.ok.version != claim.version


def make_repeat_failure(earlier: records.Record, wall_seconds: float) -> failure.Failure:
    """Return what a repeat is told about an attempt whose answer is not to be had."""
    phase = earlier.phase
    if phase is records.Phase.STARTED and wall_seconds < earlier.run_until:
        text = "a request with this idempotency key is being run"
        return failure.Failure(
            _Code.IN_PROGRESS, text, outcomes.Outcome.UNKNOWN, RETRY_AFTER_SECONDS
        )
    if phase is records.Phase.FAILED:
        text = "the target ran the request with this idempotency key and failed"
        return failure.Failure(_Code.TARGET_FAILED, text, outcomes.Outcome.FAILED)
    if phase is records.Phase.ANSWERED:
        text = f"the request with this key was answered with status {earlier.status}"
        return failure.Failure(_Code.ANSWER_NOT_KEPT, text, outcomes.Outcome.ANSWERED)
    text = "whether the request with this idempotency key was run is unknown"
    return failure.Failure(_Code.OUTCOME_UNKNOWN, text, outcomes.Outcome.UNKNOWN)


def _make_not_run_failure(cause: failure.Failure) -> failure.Failure:
    return failure.Failure(
        _Code.PLATFORM_DOWN,
        f"the idempotency key could not be recorded: {cause.message}",
        outcomes.Outcome.NOT_RUN,
        RETRY_AFTER_SECONDS,
    )
