"""What the tasks of one entry have published."""

from __future__ import annotations

import random

import trio

from galenavane.config import in_force, settings
from galenavane.control import instance_status, table
from galenavane.entry import latest
from galenavane.net import network
from galenavane.observe import meter, metrics
from galenavane.peer import members, registration, shared_state, target_reports, transport
from galenavane.route import state as route_state
from galenavane.serve import plain_health, waiter
from galenavane.store import api, instance, lease
from galenavane.target import api as target_api

MAX_QUEUED_REPORTS = 1000
MAX_LISTED_INSTANCES = 1000


class View:
    """The latest facts, each published by the one task that owns it.

    :ivar seen: reports of targets by instance name.
    :ivar seen_inbox: messages of peers on reports, passed on by ``seen_outbox``.
    :ivar tables: assignment tables by data centre.
    :ivar token: fencing token while the lease of the data centre is held.
    :ivar grant: the lease with its end, also a lapsed one that nobody else is known to have.
    :ivar commanding: whether commands to targets are in flight.
    :ivar own_facts: what this entry tells its peers; admission and picking publish it.
    :ivar peer_facts: what peers told, by peer name; the peer task publishes it.
    :ivar router: state of admission and picking, owned by ``serve.dispatch``.
    :ivar waiters: requests that wait for routing's decision, by request id.
    :ivar registrations: entries known to the platform, ``None`` until they were read.
    :ivar offered: configuration that a peer sent; the configuration task decides.
    :ivar platform_generation: generation that the platform last showed, 0 before.
    :ivar dropped_messages: damaged or unknown messages of peers.
    :ivar plain_health: which plain targets lately failed this entry's calls.
    :ivar listed_total: instances of all data centres, by the platform's list.
    :ivar leaving: whether this entry is stopping.
    :ivar active: callers' requests in flight.
    """

    __slots__ = (
        "active",
        "cfg",
        "commanding",
        "configuration",
        "dropped_messages",
        "grant",
        "incarnation",
        "instances",
        "leaving",
        "listed_total",
        "meter",
        "metrics",
        "net",
        "offered",
        "own_facts",
        "peer_facts",
        "peers",
        "plain_health",
        "platform",
        "platform_generation",
        "registrations",
        "rng",
        "router",
        "seen",
        "seen_inbox",
        "seen_outbox",
        "tables",
        "targets",
        "token",
        "transport",
        "waiters",
    )

    def __init__(
        self,
        cfg: settings.Settings,
        incarnation: str,
        platform: api.Api,
        targets: target_api.Api,
        rng: random.Random,
        net: network.Network,
        transport: transport.Transport,
    ) -> None:
        self.cfg = cfg
        self.incarnation = incarnation
        self.platform = platform
        self.targets = targets
        self.rng = rng
        self.net = net
        self.metrics = metrics.make()
        self.meter = meter.Meter(0.0)
        self.transport = transport
        self.configuration = latest.Latest[in_force.InForce | None](None)
        self.listed_total = 0
        self.instances = latest.Latest[list[instance.Instance]]([])
        self.tables = latest.Latest[dict[str, table.Table]]({})
        self.seen = latest.Latest[dict[str, instance_status.InstanceStatus]]({})
        self.seen_outbox, self.seen_inbox = trio.open_memory_channel[target_reports.TargetReports](
            MAX_QUEUED_REPORTS
        )
        self.token = latest.Latest[int | None](None)
        self.grant = latest.Latest[lease.Grant | None](None)
        self.commanding = latest.Latest[bool](False)
        self.peers = latest.Latest[list[members.Member]]([])
        self.registrations = latest.Latest[list[registration.Registration] | None](None)
        self.offered = latest.Latest[in_force.InForce | None](None)
        self.platform_generation = latest.Latest[int](0)
        self.dropped_messages = latest.Latest[int](0)
        self.own_facts = latest.Latest[shared_state.SharedState](shared_state.SharedState())
        self.peer_facts = latest.Latest[dict[str, shared_state.PeerState]]({})
        self.router = route_state.State()
        self.waiters: dict[str, waiter.Waiter] = {}
        self.leaving = latest.Latest[bool](False)
        self.plain_health = plain_health.PlainHealth()
        self.active = latest.Latest[int](0)

    def is_large(self) -> bool:
        """Whether there are too many instances to follow those of other data centres."""
        return self.listed_total > MAX_LISTED_INSTANCES

    def new_id(self) -> str:
        """Return a unique id of 32 hexadecimal digits."""
        return f"{self.rng.getrandbits(128):032x}"
