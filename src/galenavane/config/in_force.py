"""Decides which configuration is in force on an entry."""

from __future__ import annotations

import dataclasses
import enum

from galenavane.config import canonical, declaration
from galenavane.config import head as heads


@dataclasses.dataclass(slots=True, frozen=True)
class Configuration:
    """A configuration that is in force."""

    head: heads.Head
    declared: declaration.Declarations

    def list_runs(self) -> list[declaration.Run]:
        """Return the runs of the preset in force."""
        return self.declared.list_runs(self.head.preset)


class Relation(enum.Enum):
    """How a head that is offered stands to the configuration in force.

    ``FORKED`` is another acceptance of the same generation: the platform lost changes and an
    operator wrote without asking the entries.
    """

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    FORKED = "forked"


def compare(current: Configuration | None, offered: heads.Head) -> Relation:
    """Compare a head with the configuration in force."""
    if current is None or offered.generation > current.head.generation:
        return Relation.NEWER
    if offered.generation < current.head.generation:
        return Relation.OLDER
    return Relation.SAME if offered == current.head else Relation.FORKED


def choose_newest(current: Configuration | None, offered: Configuration) -> Configuration:
    """Return the configuration to be in force; an entry never goes to a lower generation."""
    if current is None or compare(current, offered.head) is Relation.NEWER:
        return offered
    return current


def index_section_texts(current: Configuration | None) -> dict[str, str]:
    """Return the texts of the sections in force by hash, which need not be read again."""
    if current is None:
        return {}
    texts = canonical.encode_sections(current.declared)
    return {current.head.sections[name]: texts[name] for name in current.head.sections}
