"""Reads and writes the immutable sections of a configuration."""

from __future__ import annotations

import expression
import msgspec

from galenavane.config import canonical, declaration
from galenavane.config import head as heads
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.store import api, stored

MAX_WRITE_ATTEMPTS = 5


async def read(
    platform: api.Api, head: heads.Head, known_texts: dict[str, str] | None = None
) -> expression.Result[dict[str, str], failure.Failure]:
    """Read the texts of the sections that a head names, checked against their hashes.

    :param known_texts: texts by hash that the caller already has and that are not read again.
    """
    texts = {}
    for name, digest in head.sections.items():
        if known_texts is not None and digest in known_texts:
            texts[name] = known_texts[digest]
            continue
        stored_section = await platform.get(heads.make_section_key(digest))
        if stored_section.is_error():
            return expression.Error(stored_section.error)
        if heads.hash_text(stored_section.ok.value) != digest:
            return expression.Error(
                make_damaged_failure(f'section "{name}" does not have hash {digest}')
            )
        texts[name] = stored_section.ok.value
    return expression.Ok(texts)


def build_declarations(
    head: heads.Head, texts: dict[str, str]
) -> expression.Result[declaration.Declarations, failure.Failure]:
    """Build the declarations of a head; ``OBJECT_DAMAGED`` if a text doesn't match its hash."""
    for name, digest in head.sections.items():
        if heads.hash_text(texts.get(name, "")) != digest:
            return expression.Error(
                make_damaged_failure(f'section "{name}" does not have hash {digest}')
            )
    try:
        declared = canonical.decode_sections({name: texts[name] for name in head.sections})
    except msgspec.DecodeError as exc:
        return expression.Error(make_damaged_failure(f"generation {head.generation}: {exc}"))
    if head.preset not in [declared_preset.name for declared_preset in declared.presets]:
        text = f'generation {head.generation}: preset "{head.preset}" is not declared'
        return expression.Error(make_damaged_failure(text))
    return expression.Ok(declared)


def check_sizes(texts: dict[str, str]) -> expression.Result[None, failure.Failure]:
    """Check that every section is within the size limit of the platform's values."""
    for name, text in texts.items():
        size = len(text.encode())
        if size > stored.MAX_VALUE_BYTES:
            problem = (
                f'section "{name}" has {size} bytes, over the {stored.MAX_VALUE_BYTES} allowed'
            )
            return expression.Error(failure.Failure(codes.Code.VALUE_TOO_LARGE, problem))
    return expression.Ok(None)


async def write(
    platform: api.Api, texts: dict[str, str], existing_hashes: set[str]
) -> expression.Result[None, failure.Failure]:
    """Write the sections that are not stored yet.

    :param existing_hashes: hashes of the sections that the current head names.
    """
    for text in texts.values():
        digest = heads.hash_text(text)
        if digest in existing_hashes:
            continue
        written = await _write_immutable(platform, heads.make_section_key(digest), text)
        if written.is_error():
            return written
    return expression.Ok(None)


async def archive_head(
    platform: api.Api, head: heads.Head
) -> expression.Result[None, failure.Failure]:
    """Store a head that is about to be replaced in the history, under its generation."""
    key = heads.make_history_key(head.generation)
    return await _write_immutable(platform, key, heads.encode(head))


async def _write_immutable(
    platform: api.Api, key: str, text: str
) -> expression.Result[None, failure.Failure]:
    """Write an object unconditionally; all its writers write the same text, so a repeat is safe."""
    for _ in range(MAX_WRITE_ATTEMPTS):
        written = await platform.put(key, text, None)
        if written.is_ok():
            return expression.Ok(None)
        if written.error.code is not codes.Code.PLATFORM_UNKNOWN:
            break
    return expression.Error(written.error)


def make_damaged_failure(text: str) -> failure.Failure:
    """Return the failure for a stored object whose content is not what its key says."""
    return failure.Failure(codes.Code.OBJECT_DAMAGED, text)
