"""Writes a head and finds out for certain whether it took effect."""

from __future__ import annotations

import expression
import msgspec
import trio

from galenavane.config import head as heads
from galenavane.config import sections
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.store import api

CONFIRM_TIMEOUT_SECONDS = 30.0
RETRY_INTERVAL_SECONDS = 0.5


async def write_head(
    platform: api.Api, head: heads.Head, version: int
) -> expression.Result[heads.Head, failure.Failure]:
    """Write a head if the platform's is still of a version.

    A write whose answer was lost is written again under the same condition: either the repeat takes
    effect, or it conflicts and what is there tells whether the first one did.

    :return: ``PLATFORM_UNKNOWN`` only when the platform did not answer for ``SETTLE_SECONDS``.
    """
    deadline = trio.current_time() + CONFIRM_TIMEOUT_SECONDS
    is_lost = False
    while True:
        written = await platform.put(heads.HEAD_KEY, heads.encode(head), version)
        if written.is_ok():
            return expression.Ok(head)
        if written.error.code is codes.Code.PLATFORM_UNKNOWN:
            is_lost = True
        elif not is_lost:
            return expression.Error(written.error)
        elif written.error.code is codes.Code.PLATFORM_CONFLICT:
            return await _find_out(platform, head, deadline)
        if trio.current_time() >= deadline:
            return expression.Error(_unknown(head))
        await trio.sleep(RETRY_INTERVAL_SECONDS)


async def _find_out(
    platform: api.Api, head: heads.Head, deadline: float
) -> expression.Result[heads.Head, failure.Failure]:
    """Tell who replaced the head: the first write of this acceptance, or another."""
    while True:
        found = await _read_accepted(platform, head.generation)
        if found.is_ok() and found.ok == head.writer:
            return expression.Ok(head)
        if found.is_ok():
            text = f"another acceptance took generation {head.generation}"
            return expression.Error(failure.Failure(codes.Code.PLATFORM_CONFLICT, text))
        if trio.current_time() >= deadline:
            return expression.Error(_unknown(head))
        await trio.sleep(RETRY_INTERVAL_SECONDS)


async def _read_accepted(
    platform: api.Api, generation: int
) -> expression.Result[str, failure.Failure]:
    """Return the writer of the head that had a generation, empty when none had it."""
    found = await platform.get(heads.HEAD_KEY)
    if found.is_error():
        return expression.Error(found.error)
    current = decode_head(found.ok.value)
    if current.is_error() or current.ok.generation <= generation:
        return current.map(lambda one: one.writer if one.generation == generation else "")
    kept = await platform.get(heads.make_history_key(generation))
    if kept.is_error():
        return expression.Error(kept.error)
    return (
        decode_head(kept.ok.value).map(lambda one: one.writer)
        if kept.ok.value
        else expression.Ok("")
    )


def decode_head(text: str) -> expression.Result[heads.Head, failure.Failure]:
    """Parse a head that the platform or a peer gave."""
    try:
        return expression.Ok(heads.decode(text))
    except msgspec.DecodeError as exc:
        return expression.Error(sections.make_damaged_failure(f"the head is damaged: {exc}"))


def _unknown(head: heads.Head) -> failure.Failure:
    text = (
        f"whether generation {head.generation} was accepted is not known: the platform does not "
        f"answer; run the same command again, it changes nothing that is already in force"
    )
    return failure.Failure(codes.Code.PLATFORM_UNKNOWN, text, outcomes.Outcome.UNKNOWN)
