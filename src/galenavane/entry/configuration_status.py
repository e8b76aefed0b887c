"""What an entry answers to operators' tools that ask for its configuration."""

from __future__ import annotations

import msgspec

from galenavane.entry import view as views

PATH = "/generation"


class ConfigurationStatus(msgspec.Struct, frozen=True):
    """The configuration in force on one entry.

    :ivar generation: 0 when it has no configuration.
    :ivar writer: unique id of its acceptance.
    """

    generation: int
    writer: str
    preset: str


def describe(view: views.View) -> ConfigurationStatus:
    """Return the configuration in force on this entry."""
    current = view.configuration.value
    if current is None:
        return ConfigurationStatus(0, "", "")
    return ConfigurationStatus(current.head.generation, current.head.writer, current.head.preset)
