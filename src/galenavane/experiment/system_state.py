"""State of a platform, entries and two targets, any of which can take the next step."""

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
# Times further in the past are equal in state keys.
MAX_COMPARED_AGE_SECONDS = 20.0
MAX_DELAYED_WRITES = 2
MAX_COMMANDS_IN_FLIGHT = 4


class StepKind(enum.Enum):
    """What happens in a step.

    :cvar TICK: time passes.
    :cvar LEASE: an entry reads or writes the lease.
    :cvar CONTROL: a lease holder writes its table or sends commands.
    :cvar DELAYED_WRITE: a delayed write reaches the platform.
    :cvar DELIVERY: a command reaches its target.
    """

    TICK = "tick"
    LEASE = "lease"
    CONTROL = "control"
    DELAYED_WRITE = "delayed_write"
    DELIVERY = "delivery"


class CallOutcome(enum.Enum):
    """Outcome of a call to the platform.

    :cvar ANSWERED: the call takes effect and the caller receives the response.
    :cvar RESPONSE_LOST: the call takes effect, but its response is lost.
    :cvar DELAYED: the caller receives no response, and the call may take effect later.
    :cvar REQUEST_LOST: the call never arrives.
    """

    ANSWERED = "answered"
    RESPONSE_LOST = "response_lost"
    DELAYED = "delayed"
    REQUEST_LOST = "request_lost"


@dataclasses.dataclass(slots=True, frozen=True)
class Step:
    """A step of one part of the system.

    :ivar index: index of the entry, the delayed write or the command in flight.
    :ivar outcome: outcome of the platform call that the step makes, if it makes one.
    """

    kind: StepKind
    index: int = 0
    outcome: CallOutcome = CallOutcome.ANSWERED


@dataclasses.dataclass(slots=True, frozen=True)
class PlatformWrite:
    """A conditional write of the table, or of the lease when there is no table.

    :ivar if_version: version that the object must have for the write to take effect.
    """

    if_version: int
    value: lease_value.LeaseValue | None
    table: table.Table | None


@dataclasses.dataclass(slots=True, frozen=True)
class SentCommand:
    """A command that has been checked and sent but has not reached its target.

    :ivar target: index of the target.
    :ivar sent_at: time in seconds.
    """

    target: int
    command: command.Command
    sent_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class HeldTable:
    """The table that a lease holder works with.

    :ivar version: version of the platform's table that the next write replaces.
    :ivar is_stored: whether the holder knows that the platform has stored the table.
    """

    version: int
    table: table.Table
    is_stored: bool


@dataclasses.dataclass(slots=True)
class SystemState:
    """State of the platform, the entries and the targets.

    :ivar now: time in seconds.
    :ivar revision: version of the platform's last write.
    :ivar leases: lease state of each entry.
    :ivar held_tables: table of each entry, ``None`` if it holds none.
    :ivar delayed_writes: writes that may still take effect.
    :ivar routable_tables: every table that an entry may route by, as JSON text.
    :ivar token_holders: pairs of a fencing token and the entry that has held it.
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
    """Return a state in which no entry holds the lease.

    :param checks_tokens: whether each target checks fencing tokens.
    """
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
    """Return the status of each target as every entry sees it, by instance name.

    A ready leader is assumed to hear all members of its group.
    """
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
