"""Decides which configuration is in force on an entry."""

from __future__ import annotations

import dataclasses
import enum

from galenavane.config import canonical, declaration
from galenavane.config import head as heads


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """A configuration that is, or can be put, in force on an entry."""

    head: heads.Head
    declared: declaration.Declarations

    def list_runs(self) -> list[declaration.Run]:
        """Return the runs of the preset in force."""
        return self.declared.list_runs(self.head.preset)


class Relation(enum.Enum):
    """How an offered head compares with the configuration in force.

    ``FORKED`` is a different head of the same generation: the platform lost accepted changes, and
    an operator's change was accepted without querying the entries.
    """

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


def compare(current: Configuration | None, offered: heads.Head) -> Relation:
    """Compare an offered head with the configuration in force."""
    if current is None or offered.generation > current.head.generation:
        return Relation.NEWER
    if offered.generation < current.head.generation:
        return Relation.OLDER
    return Relation.SAME if offered == current.head else Relation.FORKED


def choose_newest(current: Configuration | None, offered: Configuration) -> Configuration:
    """Return the newer configuration; an entry never goes back to a lower generation."""
    if current is None or compare(current, offered.head) is Relation.NEWER:
        return offered
    return current


def index_section_texts(current: Configuration | None) -> dict[str, str]:
    """Return the section texts in force by hash, so that they need not be read again."""
    if current is None:
        return {}
    texts = canonical.encode_sections(current.declared)
    return {current.head.sections[name]: texts[name] for name in current.head.sections}
