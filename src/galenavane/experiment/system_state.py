"""A platform, entries and two targets, in which any of them may take the next step."""

from __future__ import annotations

import dataclasses
import enum

import msgspec

from galenavane.control import instance_status, table
from galenavane.standin import engine_faults, engine_state
from galenavane.store import instance, lease, lease_value
from galenavane.target import command, report

TICK_SECONDS = 4.0
DATA_CENTRE = "dc"
FORGET_SECONDS = 20.0
MAX_LATE_CALLS = 2
MAX_FLIGHTS = 4


class Kind(enum.Enum):
    """What takes a step."""

    TICK = "tick"
    LEASE = "lease"
    CONTROL = "control"
    LAND = "land"
    DELIVER = "deliver"


class Fate(enum.Enum):
    """What becomes of a call.

    :cvar LOST: it takes effect and its answer is lost.
    :cvar LATE: no answer comes, and it may take effect later.
    :cvar CUT: it never arrives.
    """

    DONE = "done"
    LOST = "lost"
    LATE = "late"
    CUT = "cut"


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step.

    :ivar index: of the entry, the late call or the command in flight.
    """

    kind: Kind
    index: int = 0
    fate: Fate = Fate.DONE


@dataclasses.dataclass(slots=True, frozen=True)
class Call:
    """A write that may still take effect: of the lease, or of the table when that is set."""

    if_version: int
    value: lease_value.LeaseValue | None
    table: table.Table | None


@dataclasses.dataclass(slots=True, frozen=True)
class Flight:
    """A command between its last check and its target."""

    target: int
    command: command.Command
    sent_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class Held:
    """The table of a holder."""

    version: int
    table: table.Table
    is_kept: bool


@dataclasses.dataclass(slots=True)
class World:
    """Everything.

    :ivar tables: every table that an entry may route by.
    :ivar owners: which entry has held which fencing token.
    """

    now: float
    revision: int
    lease_version: int
    lease_value: lease_value.LeaseValue | None
    table_version: int
    table: table.Table
    leases: list[lease.State]
    held: list[Held | None]
    targets: list[engine_state.State]
    late: tuple[Call, ...]
    flights: tuple[Flight, ...]
    tables: frozenset[str]
    owners: frozenset[tuple[int, int]]


def make(kinds: tuple[bool, bool], entries: int) -> World:
    """Return the first world, in which nobody holds the lease."""
    targets = []
    for number, checks in enumerate(kinds):
        sizes = engine_faults.Sizes(load_seconds=0.0)
        one = engine_state.State(f"t{number}", sizes, f"i{number}")
        one.faults = engine_faults.Faults(checks_token=checks)
        targets.append(one)
    return World(
        now=0.0,
        revision=0,
        lease_version=0,
        lease_value=None,
        table_version=0,
        table=table.Table(DATA_CENTRE),
        leases=[lease.State(f"e{number}", f"x{number}") for number in range(entries)],
        held=[None] * entries,
        targets=targets,
        late=(),
        flights=(),
        tables=frozenset(),
        owners=frozenset(),
    )


def sightings(world: World) -> dict[str, instance_status.InstanceStatus]:
    """Return what every entry sees of the targets; a ready leader has heard its members."""
    found = {}
    for number, one in enumerate(world.targets):
        listed = instance.Instance(
            one.name, f"10.0.0.{number + 1}:1", DATA_CENTRE, instance.Kind.ENGINE, "d"
        )
        answer = one.report(world.now, report.Load())
        answer = msgspec.structs.replace(answer, complete=answer.ready and answer.rank == 0)
        found[one.name] = instance_status.InstanceStatus(listed, answer, world.now)
    return found
