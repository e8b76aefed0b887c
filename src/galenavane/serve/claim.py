"""Claims idempotency keys by conditional writes to the platform."""

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
    """Exclusive permission to execute one request with an idempotency key.

    :ivar key: key of the record in the platform.
    :ivar version: version of the record in the platform.
    """

    key: str
    version: int
    record: records.Record


ClaimResult = expression.Result[Claim | records.Record, failure.Failure]


async def claim_key(platform: api.Api, key: str, new_record: records.Record) -> ClaimResult:
    """Create the record, or overwrite one whose request was not executed.

    Every write is conditional and contains the attempt's id. A write whose response was lost is
    therefore resolved by reading the record, and may be repeated: at most one takes effect.

    :param key: key of the record in the platform.
    :returns: the claim, or the record of an earlier attempt.
    """
    version = 0
    cause = failure.Failure(_Code.PLATFORM_DOWN, "no response")
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
    """Return the result for a record that was read, or ``None`` when it may be written."""
    if existing.version == 0:
        return None
    try:
        earlier = records.decode(existing.value)
    except msgspec.DecodeError as exc:
        text = f'the record "{key}" cannot be decoded: {exc}'
        return expression.Error(
            failure.Failure(_Code.OUTCOME_UNKNOWN, text, outcomes.Outcome.UNKNOWN)
        )
    if earlier.attempt == new_record.attempt:
        return expression.Ok(Claim(key, existing.version, earlier))
    if earlier.body_hash != new_record.body_hash:
        text = "the idempotency key was already used for a different request"
        return expression.Error(failure.Failure(_Code.KEY_REUSED, text))
    if earlier.phase is records.Phase.NOT_RUN:
        return None
    return expression.Ok(earlier)


async def record_outcome(platform: api.Api, claim: Claim, final_record: records.Record) -> bool:
    """Write the final record of a claimed request.

    The record of a request that was not executed is kept with that phase. If it were deleted, a
    delayed create could restore the record of an attempt that has already ended.

    :returns: whether the record is known to be final.
    """
    put_result = await platform.put(claim.key, records.encode(final_record), claim.version)
    if put_result.is_ok():
        return True
    if put_result.error.code not in _AMBIGUOUS_CODES:
        return False
    get_result = await platform.get(claim.key)
    return get_result.is_ok() and get_result.ok.version != claim.version


def make_repeat_failure(earlier: records.Record, wall_seconds: float) -> failure.Failure:
    """Return the failure for a repeated request whose earlier response is unavailable.

    :param wall_seconds: wall clock time in seconds.
    """
    phase = earlier.phase
    if phase is records.Phase.STARTED and wall_seconds < earlier.run_until:
        text = "a request with this idempotency key is still in progress"
        return failure.Failure(
            _Code.IN_PROGRESS, text, outcomes.Outcome.UNKNOWN, RETRY_AFTER_SECONDS
        )
    if phase is records.Phase.FAILED:
        text = "the target executed the request with this idempotency key and failed"
        return failure.Failure(_Code.TARGET_FAILED, text, outcomes.Outcome.FAILED)
    if phase is records.Phase.ANSWERED:
        text = f"the response with status {earlier.status} to this idempotency key was not kept"
        return failure.Failure(_Code.ANSWER_NOT_KEPT, text, outcomes.Outcome.ANSWERED)
    text = "it is unknown whether the request with this idempotency key was executed"
    return failure.Failure(_Code.OUTCOME_UNKNOWN, text, outcomes.Outcome.UNKNOWN)


def _make_not_run_failure(cause: failure.Failure) -> failure.Failure:
    return failure.Failure(
        _Code.PLATFORM_DOWN,
        f"the idempotency key could not be recorded: {cause.message}",
        outcomes.Outcome.NOT_RUN,
        RETRY_AFTER_SECONDS,
    )
