"""Faults of a schedule and their kinds."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.StrEnum):
    """Kind of an injected failure or of a planned operator action."""

    KILL = "kill"
    FREEZE = "freeze"
    DARK_DOMAIN = "dark_domain"
    STRAGGLER = "straggler"
    ENGINE_SILENT = "engine_silent"
    CUT = "cut"
    SILENT_CONNECTIONS = "silent_connections"
    CUT_AFTER = "cut_after"
    LOSE_ANSWERS = "lose_answers"
    PLATFORM_DOWN = "platform_down"
    PLATFORM_SLOW = "platform_slow"
    PLATFORM_LOSES_ANSWERS = "platform_loses_answers"
    PLATFORM_SILENT_WATCH = "platform_silent_watch"
    PLATFORM_RATE = "platform_rate"
    SWITCH_PRESET = "switch_preset"
    OPERATOR_RACE = "operator_race"
    STOP_ENTRY = "stop_entry"
    LEAVE = "leave"


PLANNED_KINDS = frozenset({Kind.SWITCH_PRESET, Kind.OPERATOR_RACE, Kind.STOP_ENTRY, Kind.LEAVE})
PLATFORM_KINDS = frozenset(
    {
        Kind.PLATFORM_DOWN,
        Kind.PLATFORM_SLOW,
        Kind.PLATFORM_LOSES_ANSWERS,
        Kind.PLATFORM_SILENT_WATCH,
        Kind.PLATFORM_RATE,
    }
)


class Fault(msgspec.Struct, frozen=True):
    """A fault with its start, duration and affected processes.

    :ivar at_seconds: start, in seconds after the start of the schedule.
    :ivar duration_seconds: how long the fault lasts; preset switches ignore it.
    :ivar names: affected processes, or presets to switch to.
    :ivar opposite_names: processes on the other side of a network partition.
    :ivar amount: bytes, calls per second or slowdown factor, depending on the kind.
    """

    at_seconds: float
    kind: Kind
    duration_seconds: float
    names: list[str] = []
    opposite_names: list[str] = []
    amount: int = 0

    @property
    def is_planned(self) -> bool:
        """Whether this is a planned operator action, not a failure."""
        return self.kind in PLANNED_KINDS

    def describe(self) -> str:
        """Return a one-line description."""
        sides = ",".join(self.names) + (
            f" | {','.join(self.opposite_names)}" if self.opposite_names else ""
        )
        amount = f" amount={self.amount}" if self.amount else ""
        return (
            f"{self.at_seconds:6.2f} s {self.kind.value} "
            f"{self.duration_seconds:.2f} s {sides}{amount}"
        )
