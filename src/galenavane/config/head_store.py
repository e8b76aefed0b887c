"""Writes a head and determines whether the write took effect, even if responses are lost."""

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
    """Write a head if the stored head still has the given version.

    A write whose response was lost is repeated under the same condition. Either the repeated write
    takes effect, or it conflicts, and the stored head tells whether the first write took effect.

    :param version: platform version that the stored head must have, 0 if there must be none.
    :returns: the head; ``PLATFORM_CONFLICT`` when another write came first; ``PLATFORM_UNKNOWN``
        only when the platform did not answer for ``CONFIRM_TIMEOUT_SECONDS``.
    """
    deadline = trio.current_time() + CONFIRM_TIMEOUT_SECONDS
    may_have_been_written = False
    while True:
        written = await platform.put(heads.HEAD_KEY, heads.encode(head), version)
        if written.is_ok():
            return expression.Ok(head)
        if written.error.code is codes.Code.PLATFORM_UNKNOWN:
            may_have_been_written = True
        elif not may_have_been_written:
            return expression.Error(written.error)
        elif written.error.code is codes.Code.PLATFORM_CONFLICT:
            return await _resolve_conflict(platform, head, deadline)
        if trio.current_time() >= deadline:
            return expression.Error(_make_unknown_failure(head))
        await trio.sleep(RETRY_INTERVAL_SECONDS)


async def _resolve_conflict(
    platform: api.Api, head: heads.Head, deadline: float
) -> expression.Result[heads.Head, failure.Failure]:
    """Find out whether the first write of this acceptance replaced the head, or another one."""
    while True:
        accepted_writer = await _read_accepted_writer(platform, head.generation)
        if accepted_writer.is_ok() and accepted_writer.ok == head.writer:
            return expression.Ok(head)
        if accepted_writer.is_ok():
            text = f"another acceptance took generation {head.generation}"
            return expression.Error(failure.Failure(codes.Code.PLATFORM_CONFLICT, text))
        if trio.current_time() >= deadline:
            return expression.Error(_make_unknown_failure(head))
        await trio.sleep(RETRY_INTERVAL_SECONDS)


async def _read_accepted_writer(
    platform: api.Api, generation: int
) -> expression.Result[str, failure.Failure]:
    """Return the writer of the head of a generation; empty if there was no such head."""
    stored_head = await platform.get(heads.HEAD_KEY)
    if stored_head.is_error():
        return expression.Error(stored_head.error)
    current = decode_head(stored_head.ok.value)
    if current.is_error() or current.ok.generation <= generation:
        return current.map(lambda head: head.writer if head.generation == generation else "")
    archived_head = await platform.get(heads.make_history_key(generation))
    if archived_head.is_error():
        return expression.Error(archived_head.error)
    return (
        decode_head(archived_head.ok.value).map(lambda head: head.writer)
        if archived_head.ok.value
        else expression.Ok("")
    )


def decode_head(text: str) -> expression.Result[heads.Head, failure.Failure]:
    """Parse a head received from the platform or a peer; ``OBJECT_DAMAGED`` if it is malformed."""
    try:
        return expression.Ok(heads.decode(text))
    except msgspec.DecodeError as exc:
        return expression.Error(sections.make_damaged_failure(f"the head is damaged: {exc}"))


def _make_unknown_failure(head: heads.Head) -> failure.Failure:
    text = (
        f"it is unknown whether generation {head.generation} was accepted: the platform does not "
        f"respond; run the same command again, it changes nothing that is already in force"
    )
    return failure.Failure(codes.Code.PLATFORM_UNKNOWN, text, outcomes.Outcome.UNKNOWN)
