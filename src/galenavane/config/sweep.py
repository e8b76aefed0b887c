"""Removes stored sections and heads that no kept generation references.

A section is removed in two steps, so that a concurrent acceptance never loses a section that it
names. One sweep marks the section with its version while some head is current. A later sweep, with
a newer head, removes it on condition that it still has this version. An acceptance that names the
section either started from the earlier head, and then its own head write fails, or it wrote the
section again, and then the version differs.
"""

from __future__ import annotations

import expression
import msgspec

from galenavane.config import head as heads
from galenavane.config import head_store
from galenavane.failure import failure
from galenavane.store import api

KEPT_GENERATIONS = 200
SWEEP_INTERVAL_GENERATIONS = 10
MARKS_KEY = "config/marks"
_SHARD_DIGITS = "0123456789abcdef"


class Marks(msgspec.Struct, frozen=True):
    """Sections that no kept head referenced, to be removed by a later sweep.

    :ivar generation: current generation after the sections were listed.
    :ivar versions: platform version of each marked section by key.
    """

    generation: int
    versions: dict[str, int]


class _ReferencedSections:
    """Keys of the sections that the current head and the last ``KEPT_GENERATIONS`` reference."""

    __slots__ = ("generation", "keys")

    def __init__(self, current: heads.Head) -> None:
        self.generation = current.generation
        self.keys: set[str] = set()
        self._add(current)

    def add_if_recent(self, text: str) -> bool:
        """Add the sections of a replaced head unless it is too old.

        :returns: whether the head is kept; a damaged head is.
        """
        head = head_store.decode_head(text)
        if head.is_error():
            return True
        if head.ok.generation < self.generation - KEPT_GENERATIONS:
            return False
        self._add(head.ok)
        return True

    def _add(self, head: heads.Head) -> None:
        self.keys.update(heads.make_section_key(digest) for digest in head.sections.values())


async def sweep(platform: api.Api, generation: int) -> expression.Result[int, failure.Failure]:
    """Remove old heads and sections marked earlier, and mark sections for a later sweep.

    :param generation: generation that the caller has just accepted; nothing is done unless it is a
        multiple of ``SWEEP_INTERVAL_GENERATIONS``.
    :returns: number of removed objects.
    """
    if generation % SWEEP_INTERVAL_GENERATIONS:
        return expression.Ok(0)
    current = await _read_head(platform)
    if current.is_error():
        return expression.Error(current.error)
    # Listed after the head was read, so that every generation before it is in the list.
    listed_heads = await platform.list_objects(heads.HISTORY_PREFIX)
    stored_marks = await platform.get(MARKS_KEY)
    if listed_heads.is_error() or stored_marks.is_error():
        return expression.Error(
            listed_heads.error if listed_heads.is_error() else stored_marks.error
        )
    referenced = _ReferencedSections(current.ok)
    expired_heads = [
        head_object
        for head_object in listed_heads.ok.objects
        if not referenced.add_if_recent(head_object.value)
    ]
    removed = 0
    for head_object in expired_heads:
        removed += (await platform.delete(head_object.key, head_object.version)).is_ok()
    removed += await _remove_marked(platform, stored_marks.ok.value, referenced)
    return (await _mark_unreferenced(platform, referenced, generation)).map(lambda _: removed)


async def _read_head(platform: api.Api) -> expression.Result[heads.Head, failure.Failure]:
    stored_head = await platform.get(heads.HEAD_KEY)
    if stored_head.is_error():
        return expression.Error(stored_head.error)
    return head_store.decode_head(stored_head.ok.value)


async def _remove_marked(
    platform: api.Api, marks_text: str, referenced: _ReferencedSections
) -> int:
    try:
        marks = msgspec.json.decode(marks_text, type=Marks)
    except msgspec.DecodeError:
        return 0
    if marks.generation >= referenced.generation:
        return 0
    removed = 0
    for key, version in marks.versions.items():
        if key not in referenced.keys:
            removed += (await platform.delete(key, version)).is_ok()
    return removed


async def _mark_unreferenced(
    platform: api.Api, referenced: _ReferencedSections, generation: int
) -> expression.Result[int, failure.Failure]:
    """Mark unreferenced sections among a sixteenth of all, which bounds how many are listed."""
    digit = _SHARD_DIGITS[generation // SWEEP_INTERVAL_GENERATIONS % len(_SHARD_DIGITS)]
    listed_sections = await platform.list_objects(heads.SECTION_PREFIX + digit)
    if listed_sections.is_error():
        return expression.Error(listed_sections.error)
    versions = {
        section_object.key: section_object.version
        for section_object in listed_sections.ok.objects
        if section_object.key not in referenced.keys
    }
    # The head is read after the sections were listed, so that whoever wrote one of them started
    # from this head or an earlier one.
    current = await _read_head(platform)
    if current.is_error():
        return expression.Error(current.error)
    marks = msgspec.json.encode(Marks(current.ok.generation, versions)).decode()
    return await platform.put(MARKS_KEY, marks, None)
