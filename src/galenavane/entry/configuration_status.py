"""Response of an entry to operators' tools that query its configuration."""

from __future__ import annotations

import msgspec

from galenavane.entry import view as views

PATH = "/generation"


class ConfigurationStatus(msgspec.Struct, frozen=True):
    """Configuration in force on one entry.

    :ivar generation: 0 when no configuration is in force.
    :ivar writer: unique id of the write that accepted the configuration.
    :ivar preset: name of the active preset.
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
