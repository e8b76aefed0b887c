"""Accepts a new configuration by one conditional write."""

from __future__ import annotations

import dataclasses
import uuid

import expression

from galenavane.config import canonical, check, declaration, head_store, sections
from galenavane.config import head as heads
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.store import api


@dataclasses.dataclass(slots=True, frozen=True)
class StoredConfiguration:
    """The configuration that the platform holds.

    :ivar version: platform version of the head, 0 when there is none.
    """

    version: int
    head: heads.Head | None
    declared: declaration.Declarations | None


async def read_current(
    platform: api.Api,
) -> expression.Result[StoredConfiguration, failure.Failure]:
    """Read the head and the sections that it names."""
    found = await platform.get(heads.HEAD_KEY)
    if found.is_error():
        return expression.Error(found.error)
    if found.ok.version == 0:
        return expression.Ok(StoredConfiguration(0, None, None))
    return await _read_named(platform, found.ok.version, found.ok.value)


async def read_generation(
    platform: api.Api, generation: int
) -> expression.Result[StoredConfiguration, failure.Failure]:
    """Read a configuration that was in force before; its version is 0."""
    found = await platform.get(heads.make_history_key(generation))
    if found.is_error():
        return expression.Error(found.error)
    if not found.ok.value:
        text = f"generation {generation} is not kept in the platform"
        return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
    return await _read_named(platform, 0, found.ok.value)


async def _read_named(
    platform: api.Api, version: int, text: str
) -> expression.Result[StoredConfiguration, failure.Failure]:
    head = head_store.decode_head(text)
    if head.is_error():
        return expression.Error(head.error)
    declared = await read_sections(platform, head.ok)
    return declared.map(lambda found: StoredConfiguration(version, head.ok, found))


async def read_sections(
    platform: api.Api, head: heads.Head, known: dict[str, str] | None = None
) -> expression.Result[declaration.Declarations, failure.Failure]:
    """Read the declarations that a head names.

    :param known: texts by hash that need not be read again.
    """
    texts = await sections.read(platform, head, known)
    if texts.is_error():
        return expression.Error(texts.error)
    return sections.build_declarations(head, texts.ok)


def is_unchanged(
    current: StoredConfiguration, declared: declaration.Declarations, preset: str
) -> bool:
    """Whether the configuration wanted is the one that the platform holds."""
    return current.head is not None and (current.declared, current.head.preset) == (
        declared,
        preset,
    )


async def accept(
    platform: api.Api,
    current: StoredConfiguration,
    declared: declaration.Declarations,
    preset: str,
    seen_generation: int = 0,
) -> expression.Result[heads.Head, failure.Failure]:
    """Write the sections, then the head if it is still the current one.

    :param seen_generation: highest generation in force on any entry; the new one is above it.
    """
    wrong = _check(declared, preset)
    if wrong is not None:
        return expression.Error(wrong)
    texts = canonical.encode_sections(declared)
    prepared = await _prepare(platform, current, texts)
    if prepared.is_error():
        return expression.Error(prepared.error)
    last = max(seen_generation, current.head.generation if current.head else 0)
    hashes = {name: heads.hash_text(text) for name, text in texts.items()}
    head = heads.Head(last + 1, hashes, preset, uuid.uuid4().hex)
    return await head_store.write_head(platform, head, current.version)


def _check(declared: declaration.Declarations, preset: str) -> failure.Failure | None:
    try:
        check.check(declared)
    except failure.UserError as exc:
        return exc.failure
    if preset not in [one.name for one in declared.presets]:
        return failure.Failure(codes.Code.NOT_ACCEPTED, f'preset "{preset}" is not declared')
    return None


async def _prepare(
    platform: api.Api, current: StoredConfiguration, texts: dict[str, str]
) -> expression.Result[None, failure.Failure]:
    """Write everything that must be there before the head changes."""
    sizes = sections.check_sizes(texts)
    if sizes.is_error():
        return sizes
    if current.head is None:
        return await sections.write(platform, texts, set())
    written = await sections.write(platform, texts, set(current.head.sections.values()))
    if written.is_error():
        return written
    return await sections.archive_head(platform, current.head)
