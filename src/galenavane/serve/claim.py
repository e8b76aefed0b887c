"""Claims an idempotency key before a target sees the request."""

from __future__ import annotations

import dataclasses

import expression
import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.platform import api
from galenavane.serve import record as records

SETTLE_TRIES = 3
SETTLE_PAUSE_SECONDS = 0.3
RETRY_AFTER_SECONDS = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class Claim:
    """The right to run one keyed request.

    :ivar version: platform version of the record.
    """

    key: str
    version: int
    record: records.Record


Claimed = expression.Result[Claim | records.Record, failure.Failure]


async def claim(platform: api.Api, key: str, wanted: records.Record) -> Claimed:
    """Create the record; return the claim, or the record of an earlier attempt."""
    written = await platform.put(key, records.encode(wanted), 0)
    if written.is_ok():
        return expression.Ok(Claim(key, written.ok, wanted))
    if written.error.code is codes.Code.PLATFORM_CONFLICT:
        return await _read_earlier(platform, key, wanted)
    if written.error.code is codes.Code.PLATFORM_UNKNOWN:
        return await _settle(platform, key, wanted)
    return expression.Error(_not_run(written.error))


async def _settle(platform: api.Api, key: str, wanted: records.Record) -> Claimed:
    for _ in range(SETTLE_TRIES):
        found = await _read_earlier(platform, key, wanted)
        if found.is_ok():
            return found
        await trio.sleep(SETTLE_PAUSE_SECONDS)
    text = "the platform did not say whether the idempotency key was recorded"
    return expression.Error(_not_run(failure.Failure(codes.Code.PLATFORM_DOWN, text)))


async def _read_earlier(platform: api.Api, key: str, wanted: records.Record) -> Claimed:
    found = await platform.get(key)
    if found.is_error():
        return expression.Error(_not_run(found.error))
    if found.ok.version == 0:
        text = "the idempotency key's record has just been removed"
        return expression.Error(_not_run(failure.Failure(codes.Code.PLATFORM_CONFLICT, text)))
    earlier = records.decode(found.ok.value)
    if earlier.attempt == wanted.attempt:
        return expression.Ok(Claim(key, found.ok.version, earlier))
    if earlier.body_hash != wanted.body_hash:
        text = "the idempotency key was used with another request"
        return expression.Error(failure.Failure(codes.Code.KEY_REUSED, text))
    return expression.Ok(earlier)


async def close(platform: api.Api, held: Claim, ended: records.Record) -> bool:
    """Record how the claimed request ended; return whether that is known to be kept."""
    written = await platform.put(held.key, records.encode(ended), held.version)
    return written.is_ok()


async def give_back(platform: api.Api, held: Claim) -> bool:
    """Remove the record of a request that was not run, so that it may be tried again."""
    removed = await platform.delete(held.key, held.version)
    return removed.is_ok()


def explain(earlier: records.Record) -> failure.Failure:
    """Return what a repeat is told about an attempt that has no answer."""
    if earlier.phase is records.Phase.STARTED:
        text = "a request with this idempotency key is being run"
        return failure.Failure(
            codes.Code.IN_PROGRESS, text, outcomes.Outcome.UNKNOWN, RETRY_AFTER_SECONDS
        )
    text = "whether the request with this idempotency key was run is unknown"
    return failure.Failure(codes.Code.OUTCOME_UNKNOWN, text, outcomes.Outcome.UNKNOWN)


def _not_run(cause: failure.Failure) -> failure.Failure:
    return failure.Failure(
        codes.Code.PLATFORM_DOWN,
        f"the idempotency key could not be recorded: {cause.message}",
        outcomes.Outcome.NOT_RUN,
        RETRY_AFTER_SECONDS,
    )
