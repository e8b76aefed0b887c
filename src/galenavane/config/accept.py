"""Accepts a new configuration by one conditional write."""

from __future__ import annotations

import dataclasses
import uuid

import expression
import trio

from galenavane.config import canonical, declaration
from galenavane.config import head as heads
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.platform import api, stored

SETTLE_TRIES = 5
SETTLE_PAUSE_SECONDS = 0.5


@dataclasses.dataclass(slots=True, frozen=True)
class Current:
    """The configuration that the platform holds.

    :ivar version: platform version of the head, 0 when there is none.
    """

    version: int
    head: heads.Head | None
    declared: declaration.Declarations | None


async def read_current(platform: api.Api) -> expression.Result[Current, failure.Failure]:
    """Read the head and the sections that it names."""
    found = await platform.get(heads.HEAD_KEY)
    if found.is_error():
        return expression.Error(found.error)
    if found.ok.version == 0:
        return expression.Ok(Current(0, None, None))
    head = heads.decode(found.ok.value)
    sections = await read_sections(platform, head)
    return sections.map(lambda declared: Current(found.ok.version, head, declared))


async def read_sections(
    platform: api.Api, head: heads.Head
) -> expression.Result[declaration.Declarations, failure.Failure]:
    """Read the sections that a head names."""
    texts = {}
    for name, digest in head.sections.items():
        found = await platform.get(heads.section_key(digest))
        if found.is_error():
            return expression.Error(found.error)
        texts[name] = found.ok.value
    return expression.Ok(canonical.join(texts))


async def accept(
    platform: api.Api, current: Current, declared: declaration.Declarations, preset: str
) -> expression.Result[heads.Head, failure.Failure]:
    """Write the sections, then the head if it is still the current one."""
    sections = canonical.split(declared)
    hashes = {}
    for name, text in sections.items():
        hashes[name] = heads.hash_text(text)
        written = await platform.put(heads.section_key(hashes[name]), text, None)
        if written.is_error():
            return expression.Error(written.error)
    generation = current.head.generation + 1 if current.head else 1
    head = heads.Head(generation, hashes, preset, uuid.uuid4().hex)
    written = await platform.put(heads.HEAD_KEY, heads.encode(head), current.version)
    if written.is_ok():
        return expression.Ok(head)
    if written.error.code is not codes.Code.PLATFORM_UNKNOWN:
        return expression.Error(written.error)
    return await _settle(platform, head, written.error)


async def _settle(
    platform: api.Api, head: heads.Head, lost: failure.Failure
) -> expression.Result[heads.Head, failure.Failure]:
    """Read back whether a head whose answer was lost has taken effect."""
    for _ in range(SETTLE_TRIES):
        found = await platform.get(heads.HEAD_KEY)
        if found.is_ok() and _is_written(found.ok, head):
            return expression.Ok(head)
        await trio.sleep(SETTLE_PAUSE_SECONDS)
    return expression.Error(lost)


def _is_written(found: stored.Stored, head: heads.Head) -> bool:
    return bool(found.value) and heads.decode(found.value).writer == head.writer
