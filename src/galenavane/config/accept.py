"""Reads the stored configuration and accepts a new one by a conditional write."""

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
    """A configuration read from the platform.

    :ivar version: platform version of the head; 0 when there is no head or it is a replaced one.
    :ivar head: ``None`` before the first configuration is accepted.
    :ivar declared: declarations that the head names, ``None`` without a head.
    """

    version: int
    head: heads.Head | None
    declared: declaration.Declarations | None


async def read_current(
    platform: api.Api,
) -> expression.Result[StoredConfiguration, failure.Failure]:
    """Read the current head and the sections that it names."""
    stored_head = await platform.get(heads.HEAD_KEY)
    if stored_head.is_error():
        return expression.Error(stored_head.error)
    if stored_head.ok.version == 0:
        return expression.Ok(StoredConfiguration(0, None, None))
    return await _read_declared(platform, stored_head.ok.version, stored_head.ok.value)


async def read_generation(
    platform: api.Api, generation: int
) -> expression.Result[StoredConfiguration, failure.Failure]:
    """Read a replaced configuration from the history; its version is 0.

    :returns: ``NOT_ACCEPTED`` when the platform does not keep the generation.
    """
    stored_head = await platform.get(heads.make_history_key(generation))
    if stored_head.is_error():
        return expression.Error(stored_head.error)
    if not stored_head.ok.value:
        text = f"generation {generation} is not kept in the platform"
        return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
    return await _read_declared(platform, 0, stored_head.ok.value)


async def _read_declared(
    platform: api.Api, version: int, head_text: str
) -> expression.Result[StoredConfiguration, failure.Failure]:
    parsed_head = head_store.decode_head(head_text)
    if parsed_head.is_error():
        return expression.Error(parsed_head.error)
    declared = await read_sections(platform, parsed_head.ok)
    return declared.map(lambda value: StoredConfiguration(version, parsed_head.ok, value))


async def read_sections(
    platform: api.Api, head: heads.Head, known_texts: dict[str, str] | None = None
) -> expression.Result[declaration.Declarations, failure.Failure]:
    """Read the declarations that a head names.

    :param known_texts: texts by hash that the caller already has and that are not read again.
    """
    texts = await sections.read(platform, head, known_texts)
    if texts.is_error():
        return expression.Error(texts.error)
    return sections.build_declarations(head, texts.ok)


def is_unchanged(
    current: StoredConfiguration, declared: declaration.Declarations, preset: str
) -> bool:
    """Whether the platform already holds these declarations and this preset."""
    return current.head is not None and (current.declared, current.head.preset) == (
        declared,
        preset,
    )


async def accept(
    platform: api.Api,
    current: StoredConfiguration,
    declared: declaration.Declarations,
    preset: str,
    highest_in_force: int = 0,
) -> expression.Result[heads.Head, failure.Failure]:
    """Check and store a configuration: its sections first, then its head.

    The head is written only while the stored head still has the version of ``current``.

    :param current: configuration that the change is based on.
    :param highest_in_force: highest generation in force on any entry; the new one is above it.
    :returns: the new head, or why the configuration was not accepted.
    """
    problem = _find_problem(declared, preset)
    if problem is not None:
        return expression.Error(problem)
    texts = canonical.encode_sections(declared)
    prerequisites = await _write_prerequisites(platform, current, texts)
    if prerequisites.is_error():
        return expression.Error(prerequisites.error)
    last_generation = max(highest_in_force, current.head.generation if current.head else 0)
    hashes = {name: heads.hash_text(text) for name, text in texts.items()}
    head = heads.Head(last_generation + 1, hashes, preset, uuid.uuid4().hex)
    return await head_store.write_head(platform, head, current.version)


def _find_problem(declared: declaration.Declarations, preset: str) -> failure.Failure | None:
    try:
        check.check(declared)
    except failure.UserError as exc:
        return exc.failure
    if preset not in [declared_preset.name for declared_preset in declared.presets]:
        return failure.Failure(codes.Code.NOT_ACCEPTED, f'preset "{preset}" is not declared')
    return None


async def _write_prerequisites(
    platform: api.Api, current: StoredConfiguration, texts: dict[str, str]
) -> expression.Result[None, failure.Failure]:
    """Write what has to be stored before the head changes: the sections and the old head."""
    size_check = sections.check_sizes(texts)
    if size_check.is_error():
        return size_check
    if current.head is None:
        return await sections.write(platform, texts, set())
    written = await sections.write(platform, texts, set(current.head.sections.values()))
    if written.is_error():
        return written
    return await sections.archive_head(platform, current.head)
