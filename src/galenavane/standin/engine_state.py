"""Group membership of the stand-in engine and the commands that change it."""

from __future__ import annotations

from galenavane.standin import engine_faults
from galenavane.target import command, report

MEMBER_TIMEOUT_SECONDS = 1.5


class State:
    """State of one member.

    :ivar confirmed_at: when each other member last confirmed this group, on the monotonic clock.
    :ivar finished: completions that have ended since the start.
    :ivar join_count: groups joined since the start.
    :ivar loaded_at: when the weights are or will be loaded, on the monotonic clock.
    :ivar token: highest fencing token received.
    """

    __slots__ = (
        "adapters",
        "confirmed_at",
        "epoch",
        "faults",
        "finished",
        "group",
        "incarnation",
        "join_count",
        "loaded_at",
        "model",
        "name",
        "parameters",
        "peers",
        "rank",
        "role",
        "shard",
        "token",
        "version",
    )

    def __init__(self, name: str, parameters: engine_faults.Parameters, incarnation: str) -> None:
        self.name = name
        self.parameters = parameters
        self.faults = engine_faults.Faults()
        self.incarnation = incarnation
        self.token = 0
        self.join_count = 0
        self.finished = 0
        self.shard = ""
        self.loaded_at = 0.0
        self.leave_group()

    def leave_group(self) -> None:
        """Leave the group; the weights stay in memory until other weights are loaded."""
        self.group = ""
        self.epoch = 0
        self.rank = 0
        self.model = ""
        self.version = ""
        self.adapters: list[str] = []
        self.role = command.Role.BOTH
        self.peers: list[command.Peer] = []
        self.confirmed_at: dict[str, float] = {}

    def find_refusal(self, cmd: command.Command) -> str:
        """Return the reason to refuse a command, or an empty string to accept it."""
        if cmd.incarnation != self.incarnation:
            return "incarnation"
        if self.faults.checks_token and cmd.token < self.token:
            return "token"
        return ""

    def apply_command(self, cmd: command.Command, now: float) -> None:
        """Apply a command that :meth:`find_refusal` accepted."""
        self.token = max(self.token, cmd.token)
        if cmd.kind is command.Kind.LEAVE:
            if (cmd.group, cmd.epoch) == (self.group, self.epoch):
                self.leave_group()
        elif cmd.kind is command.Kind.LOAD_ADAPTER:
            self.adapters = list(cmd.adapters)
        elif cmd.kind is command.Kind.SET_ROLE:
            self.role = cmd.role
        elif cmd.kind is command.Kind.LOAD:
            if not self.group:
                self._load_weights(cmd.shard, now)
        else:
            self._join_group(cmd, now)

    def _load_weights(self, shard: str, now: float) -> None:
        if shard != self.shard:
            self.shard = shard
            self.loaded_at = now + self.parameters.load_seconds

    def _join_group(self, cmd: command.Command, now: float) -> None:
        if (cmd.group, cmd.epoch) == (self.group, self.epoch):
            return
        self.leave_group()
        self.join_count += 1
        self.group = cmd.group
        self.epoch = cmd.epoch
        self.model = cmd.model
        self.version = cmd.version
        self.adapters = list(cmd.adapters)
        self.role = cmd.role
        self.peers = list(cmd.peers)
        self.rank = [peer.instance for peer in cmd.peers].index(self.name)
        member_count = len(cmd.peers)
        self._load_weights(
            command.format_shard(cmd.model, cmd.version, self.rank, member_count), now
        )

    def is_ready(self, now: float) -> bool:
        """Return whether this member is in a group and its weights are loaded."""
        return bool(self.group) and now >= self.loaded_at

    def is_complete(self, now: float) -> bool:
        """Return whether this member leads a group and all others confirmed it recently."""
        if not self.is_ready(now) or self.rank != 0:
            return False
        other_members = self.peers[1:]
        return all(
            now - self.confirmed_at.get(peer.instance, -MEMBER_TIMEOUT_SECONDS)
            < MEMBER_TIMEOUT_SECONDS
            for peer in other_members
        )

    def record_report(self, peer: command.Peer, received: report.Report, now: float) -> None:
        """Record a report of another member as a confirmation if it is ready in the same group."""
        is_same_group = (received.group, received.epoch) == (self.group, self.epoch)
        if is_same_group and received.incarnation == peer.incarnation and received.ready:
            self.confirmed_at[peer.instance] = now

    def make_report(self, now: float, load: report.Load) -> report.Report:
        """Return the current report of this member."""
        return report.Report(
            instance=self.name,
            incarnation=self.incarnation,
            token=self.token,
            group=self.group,
            epoch=self.epoch,
            rank=self.rank,
            model=self.model,
            version=self.version,
            adapters=self.adapters,
            role=self.role,
            shard=self.shard,
            loaded=bool(self.shard) and now >= self.loaded_at,
            ready=self.is_ready(now),
            complete=self.is_complete(now),
            load=load,
            finished=self.finished,
        )
