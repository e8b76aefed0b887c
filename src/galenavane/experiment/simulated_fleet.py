"""Simulates instances that fail, restart and load weights on a virtual clock, without tasks."""

from __future__ import annotations

import dataclasses
import math

import msgspec

from galenavane.control import instance_status
from galenavane.store import instance
from galenavane.target import command, report

DATA_CENTRE = "dc"
LOAD_SECONDS = 60.0
"""Duration of a weight load."""


@dataclasses.dataclass(slots=True)
class SimulatedInstance:
    """State of one instance. Times are virtual, in seconds.

    :ivar record: the platform's record of it.
    :ivar start_count: number of starts.
    :ivar silent_since: when it stopped responding; infinity while it responds.
    :ivar loading_until: when the current weight load ends; minus infinity without one.
    :ivar last_report: the report that it sends.
    """

    record: instance.Instance
    start_count: int = 1
    silent_since: float = math.inf
    loading_until: float = -math.inf
    last_report: report.Report = dataclasses.field(default_factory=lambda: report.Report("", ""))


class Fleet:
    """Instances of a data centre and their observed statuses.

    :ivar now: virtual time in seconds.
    :ivar reloads_on_join: whether a member loads its weights again at every join.
    :ivar load_count: number of weight loads so far.
    :ivar statuses: observed statuses by instance name.
    """

    __slots__ = ("instances", "load_count", "now", "reloads_on_join", "statuses")

    def __init__(self, domain_sizes: list[int], reloads_on_join: bool) -> None:
        self.now = 0.0
        self.load_count = 0
        self.reloads_on_join = reloads_on_join
        self.instances: dict[str, SimulatedInstance] = {}
        self.statuses: dict[str, instance_status.InstanceStatus] = {}
        for domain, size in enumerate(domain_sizes):
            for number in range(size):
                self._add(f"i{domain}-{number:03d}", f"d{domain}")

    def _add(self, name: str, domain: str) -> None:
        address = f"10.0.0.1:{len(self.instances) + 1}"
        record = instance.Instance(name, address, DATA_CENTRE, instance.Kind.ENGINE, domain)
        self.instances[name] = SimulatedInstance(record)
        self._start(self.instances[name])

    def _start(self, simulated: SimulatedInstance) -> None:
        incarnation = f"{simulated.record.name}/{simulated.start_count}"
        simulated.last_report = report.Report(simulated.record.name, incarnation)
        simulated.loading_until = -math.inf
        self.revive(simulated.record.name)

    def _update_status(self, simulated: SimulatedInstance) -> None:
        status = instance_status.InstanceStatus(
            simulated.record, simulated.last_report, simulated.silent_since
        )
        self.statuses[simulated.record.name] = status

    def fail(self, name: str) -> None:
        """Make an instance stop responding."""
        simulated = self.instances[name]
        simulated.silent_since = min(simulated.silent_since, self.now)
        self._update_status(simulated)

    def revive(self, name: str) -> None:
        """Make an instance respond again, with its state unchanged."""
        simulated = self.instances[name]
        simulated.silent_since = math.inf
        self._update_status(simulated)

    def restart(self, name: str) -> None:
        """Restart an instance, which loses its weights and its group."""
        simulated = self.instances[name]
        simulated.start_count += 1
        self.set_state(name, instance.State.LIVE)
        self._start(simulated)

    def set_state(self, name: str, state: instance.State) -> None:
        """Change the state of an instance in its platform record."""
        simulated = self.instances[name]
        simulated.record = msgspec.structs.replace(simulated.record, state=state)
        self._update_status(simulated)

    def finish_loads(self) -> None:
        """Finish the weight loads that have ended by now."""
        for simulated in self.instances.values():
            if -math.inf < simulated.loading_until <= self.now:
                simulated.loading_until = -math.inf
                last_report = simulated.last_report
                simulated.last_report = _mark_ready(
                    msgspec.structs.replace(last_report, loaded=True)
                )
                self._update_status(simulated)

    def find_next_load_end(self) -> float:
        """Return when the next weight load ends; infinity when none is running."""
        load_ends = [simulated.loading_until for simulated in self.instances.values()]
        return min((ends_at for ends_at in load_ends if ends_at > self.now), default=math.inf)

    def execute(self, name: str, cmd: command.Command) -> None:
        """Execute a command; silent instances and other incarnations ignore it."""
        simulated = self.instances[name]
        last_report = simulated.last_report
        if simulated.silent_since <= self.now or cmd.incarnation != last_report.incarnation:
            return
        if cmd.kind is command.Kind.LEAVE:
            simulated.last_report = msgspec.structs.replace(last_report, group="", epoch=0)
            simulated.last_report = _mark_ready(simulated.last_report)
        elif cmd.kind is command.Kind.LOAD:
            self._load(simulated, cmd.shard)
        elif cmd.kind is command.Kind.JOIN:
            self._join(simulated, cmd)
        self._update_status(simulated)

    def _join(self, simulated: SimulatedInstance, cmd: command.Command) -> None:
        member_names = [peer.instance for peer in cmd.peers]
        rank = member_names.index(simulated.record.name)
        if self.reloads_on_join:
            simulated.last_report = msgspec.structs.replace(simulated.last_report, shard="")
        self._load(simulated, command.format_shard(cmd.model, cmd.version, rank, len(member_names)))
        last_report = simulated.last_report
        simulated.last_report = _mark_ready(
            msgspec.structs.replace(last_report, group=cmd.group, epoch=cmd.epoch, rank=rank)
        )

    def _load(self, simulated: SimulatedInstance, shard: str) -> None:
        if simulated.last_report.shard == shard:
            return
        self.load_count += 1
        simulated.loading_until = self.now + LOAD_SECONDS
        simulated.last_report = msgspec.structs.replace(
            simulated.last_report, shard=shard, loaded=False
        )


def _mark_ready(member_report: report.Report) -> report.Report:
    """Return a report with readiness set; a ready leader reports its group as complete."""
    is_ready = member_report.loaded and bool(member_report.group)
    return msgspec.structs.replace(
        member_report, ready=is_ready, complete=is_ready and member_report.rank == 0
    )
