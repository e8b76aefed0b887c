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
MAX_COMPARED_AGE_SECONDS = 20.0
MAX_DELAYED_WRITES = 2
MAX_COMMANDS_IN_FLIGHT = 4


class StepKind(enum.Enum):
    """What takes a step."""

    TICK = "tick"
    LEASE = "lease"
    CONTROL = "control"
    DELAYED_WRITE = "land"
    DELIVERY = "deliver"


class CallOutcome(enum.Enum):
    """What becomes of a call.

    :cvar LOST: it takes effect and its answer is lost.
    :cvar LATE: no answer comes, and it may take effect later.
    :cvar CUT: it never arrives.
    """

    ANSWERED = "done"
    RESPONSE_LOST = "lost"
    DELAYED = "late"
    REQUEST_LOST = "cut"


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """One step.

    :ivar index: of the entry, the late call or the command in flight.
    """

    kind: StepKind
    index: int = 0
    outcome: CallOutcome = CallOutcome.ANSWERED


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformWrite:
    """A write that may still take effect: of the lease, or of the table when that is set."""

    if_version: int
    value: lease_value.LeaseValue | None
    table: table.Table | None


@dataclasses.dataclass(slots=True, frozen=True)
class SentCommand:
    """A command between its last check and its target."""

    target: int
    command: command.Command
    sent_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class HeldTable:
    """The table of a holder."""

    version: int
    table: table.Table
    is_stored: bool


@dataclasses.dataclass(slots=True)
class SystemState:
    """Everything.

    :ivar routable_tables: every table that an entry may route by.
    :ivar token_holders: which entry has held which fencing token.
    """

    now: float
    revision: int
    lease_version: int
    lease_value: lease_value.LeaseValue | None
    table_version: int
    table: table.Table
    leases: list[lease.State]
    held_tables: list[HeldTable | None]
    targets: list[engine_state.State]
    delayed_writes: tuple[PlatformWrite, ...]
    commands_in_flight: tuple[SentCommand, ...]
    routable_tables: frozenset[str]
    token_holders: frozenset[tuple[int, int]]


def make_initial(checks_tokens: tuple[bool, bool], entry_count: int) -> SystemState:
    """Return the first world, in which nobody holds the lease."""
    targets = []
    for number, checks_token in enumerate(checks_tokens):
        engine_sizes = engine_faults.Parameters(load_seconds=0.0)
        target = engine_state.State(f"t{number}", engine_sizes, f"i{number}")
        target.faults = engine_faults.Faults(checks_token=checks_token)
        targets.append(target)
    return SystemState(
        now=0.0,
        revision=0,
        lease_version=0,
        lease_value=None,
        table_version=0,
        table=table.Table(DATA_CENTRE),
        leases=[lease.State(f"e{number}", f"x{number}") for number in range(entry_count)],
        held_tables=[None] * entry_count,
        targets=targets,
        delayed_writes=(),
        commands_in_flight=(),
        routable_tables=frozenset(),
        token_holders=frozenset(),
    )


def make_statuses(system: SystemState) -> dict[str, instance_status.InstanceStatus]:
    """Return what every entry sees of the targets; a ready leader has heard its members."""
    statuses = {}
    for number, target in enumerate(system.targets):
        listed = instance.Instance(
            target.name, f"10.0.0.{number + 1}:1", DATA_CENTRE, instance.Kind.ENGINE, "d"
        )
        target_report = target.make_report(system.now, report.Load())
        target_report = msgspec.structs.replace(
            target_report, complete=target_report.ready and target_report.rank == 0
        )
        statuses[target.name] = instance_status.InstanceStatus(listed, target_report, system.now)
    return statuses
