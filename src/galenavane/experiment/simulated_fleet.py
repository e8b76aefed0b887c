"""Instances that fail, restart and load weights, on a virtual clock without tasks."""

from __future__ import annotations

import dataclasses
import math

import msgspec

from galenavane.control import instance_status
from galenavane.store import instance
from galenavane.target import command, report

DATA_CENTRE = "dc"
LOAD_SECONDS = 60.0


@dataclasses.dataclass(slots=True)
class Machine:
    """One instance.

    :ivar died_at: when it fell silent; infinite while it answers.
    :ivar loading_until: end of the load under way; minus infinity without one.
    """

    listed: instance.Instance
    starts: int = 1
    died_at: float = math.inf
    loading_until: float = -math.inf
    answer: report.Report = dataclasses.field(default_factory=lambda: report.Report("", ""))


class Fleet:
    """The instances of a data centre and what is seen of them.

    :ivar reloads_all: whether a member loads its weights at every join.
    :ivar loads: loads so far.
    """

    __slots__ = ("loads", "machines", "now", "reloads_all", "seen")

    def __init__(self, domains: list[int], reloads_all: bool) -> None:
        self.now = 0.0
        self.loads = 0
        self.reloads_all = reloads_all
        self.machines: dict[str, Machine] = {}
        self.seen: dict[str, instance_status.InstanceStatus] = {}
        for domain, size in enumerate(domains):
            for number in range(size):
                self._add(f"i{domain}-{number:03d}", f"d{domain}")

    def _add(self, name: str, domain: str) -> None:
        address = f"10.0.0.1:{len(self.machines) + 1}"
        listed = instance.Instance(name, address, DATA_CENTRE, instance.Kind.ENGINE, domain)
        self.machines[name] = Machine(listed)
        self._start(self.machines[name])

    def _start(self, machine: Machine) -> None:
        incarnation = f"{machine.listed.name}/{machine.starts}"
        machine.answer = report.Report(machine.listed.name, incarnation)
        machine.loading_until = -math.inf
        self.revive(machine.listed.name)

    def _show(self, machine: Machine) -> None:
        found = instance_status.InstanceStatus(machine.listed, machine.answer, machine.died_at)
        self.seen[machine.listed.name] = found

    def fail(self, name: str) -> None:
        """Let an instance fall silent."""
        machine = self.machines[name]
        machine.died_at = min(machine.died_at, self.now)
        self._show(machine)

    def revive(self, name: str) -> None:
        """Let a silent instance answer again as if nothing happened."""
        machine = self.machines[name]
        machine.died_at = math.inf
        self._show(machine)

    def restart(self, name: str) -> None:
        """Start an instance anew, with empty memory."""
        machine = self.machines[name]
        machine.starts += 1
        self.set_state(name, instance.State.LIVE)
        self._start(machine)

    def set_state(self, name: str, state: instance.State) -> None:
        """Change what the platform's list says of an instance."""
        machine = self.machines[name]
        machine.listed = msgspec.structs.replace(machine.listed, state=state)
        self._show(machine)

    def finish_loads(self) -> None:
        """End the loads whose time has come."""
        for machine in self.machines.values():
            if -math.inf < machine.loading_until <= self.now:
                machine.loading_until = -math.inf
                answer = machine.answer
                machine.answer = _ready(msgspec.structs.replace(answer, loaded=True))
                self._show(machine)

    def next_load_end(self) -> float:
        """Return when the next load ends."""
        loading = [one.loading_until for one in self.machines.values()]
        return min((at for at in loading if at > self.now), default=math.inf)

    def obey(self, name: str, order: command.Command) -> None:
        """Carry out a command."""
        machine = self.machines[name]
        answer = machine.answer
        if machine.died_at <= self.now or order.incarnation != answer.incarnation:
            return
        if order.kind is command.Kind.LEAVE:
            machine.answer = msgspec.structs.replace(answer, group="", epoch=0)
            machine.answer = _ready(machine.answer)
        elif order.kind is command.Kind.LOAD:
            self._load(machine, order.shard)
        elif order.kind is command.Kind.JOIN:
            self._join(machine, order)
        self._show(machine)

    def _join(self, machine: Machine, order: command.Command) -> None:
        names = [peer.instance for peer in order.peers]
        rank = names.index(machine.listed.name)
        if self.reloads_all:
            machine.answer = msgspec.structs.replace(machine.answer, shard="")
        self._load(machine, command.format_shard(order.model, order.version, rank, len(names)))
        answer = machine.answer
        machine.answer = _ready(
            msgspec.structs.replace(answer, group=order.group, epoch=order.epoch, rank=rank)
        )

    def _load(self, machine: Machine, shard: str) -> None:
        if machine.answer.shard == shard:
            return
        self.loads += 1
        machine.loading_until = self.now + LOAD_SECONDS
        machine.answer = msgspec.structs.replace(machine.answer, shard=shard, loaded=False)


def _ready(answer: report.Report) -> report.Report:
    """Return a report that says whether the member is ready; a leader hears its members."""
    is_ready = answer.loaded and bool(answer.group)
    return msgspec.structs.replace(answer, ready=is_ready, complete=is_ready and answer.rank == 0)
