"""One entry's view of the deployment: settings, clients and the values that tasks publish."""

from __future__ import annotations

import random

import trio

from galenavane.config import in_force, settings
from galenavane.control import instance_status, table
from galenavane.entry import async_value
from galenavane.net import network
from galenavane.observe import meter, metrics
from galenavane.peer import members, registration, shared_state, target_reports, transport
from galenavane.route import state as route_state
from galenavane.serve import decision_future, plain_health
from galenavane.store import api, instance, lease
from galenavane.target import api as target_api

MAX_QUEUED_REPORTS = 1000
MAX_LISTED_INSTANCES = 1000


class View:
    """Latest values within one entry, each published by the one task that owns it.

    :ivar instances: instances listed by the platform.
    :ivar instance_statuses: newest report of each target, by instance name.
    :ivar peer_reports_receiver: target reports of peers, received from ``peer_reports_sender``.
    :ivar tables: assignment tables by data centre.
    :ivar token: fencing token while the lease of the data centre is held, else ``None``.
    :ivar grant: the last lease grant while no other entry is known to hold the lease; it may have
        expired.
    :ivar is_commanding: whether commands to targets are in flight.
    :ivar peers: live peers.
    :ivar configuration: configuration in force, ``None`` before the first.
    :ivar own_shared_state: state that this entry sends to its peers; the routing task publishes it.
    :ivar peer_states: shared state by peer name; the peer task publishes it.
    :ivar router: state of admission and group selection, owned by ``serve.dispatch``.
    :ivar waiters: requests that wait for a routing decision, by request id.
    :ivar registrations: registered entries, ``None`` until they were read from the platform.
    :ivar offered_configuration: newest configuration received from a peer; the configuration task
        decides whether to put it in force.
    :ivar platform_generation: generation last read from the platform, 0 before the first read.
    :ivar dropped_messages: number of dropped messages of peers.
    :ivar plain_health: plain targets that recently failed calls of this entry.
    :ivar total_instances: number of instances in all data centres, by the platform's list.
    :ivar is_leaving: whether this entry is stopping.
    :ivar active_requests: callers' requests in flight.
    """

    __slots__ = (
        "active_requests",
        "cfg",
        "configuration",
        "dropped_messages",
        "grant",
        "incarnation",
        "instance_statuses",
        "instances",
        "is_commanding",
        "is_leaving",
        "meter",
        "metrics",
        "net",
        "offered_configuration",
        "own_shared_state",
        "peer_reports_receiver",
        "peer_reports_sender",
        "peer_states",
        "peers",
        "plain_health",
        "platform",
        "platform_generation",
        "registrations",
        "rng",
        "router",
        "tables",
        "targets",
        "token",
        "total_instances",
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
        self.configuration = async_value.AsyncValue[in_force.Configuration | None](None)
        self.total_instances = 0
        self.instances = async_value.AsyncValue[list[instance.Instance]]([])
        self.tables = async_value.AsyncValue[dict[str, table.Table]]({})
        self.instance_statuses = async_value.AsyncValue[dict[str, instance_status.InstanceStatus]](
            {}
        )
        self.peer_reports_sender, self.peer_reports_receiver = trio.open_memory_channel[
            target_reports.TargetReports
        ](MAX_QUEUED_REPORTS)
        self.token = async_value.AsyncValue[int | None](None)
        self.grant = async_value.AsyncValue[lease.Grant | None](None)
        self.is_commanding = async_value.AsyncValue[bool](False)
        self.peers = async_value.AsyncValue[list[members.Member]]([])
        self.registrations = async_value.AsyncValue[list[registration.Registration] | None](None)
        self.offered_configuration = async_value.AsyncValue[in_force.Configuration | None](None)
        self.platform_generation = async_value.AsyncValue[int](0)
        self.dropped_messages = async_value.AsyncValue[int](0)
        self.own_shared_state = async_value.AsyncValue[shared_state.SharedState](
            shared_state.SharedState()
        )
        self.peer_states = async_value.AsyncValue[dict[str, shared_state.PeerState]]({})
        self.router = route_state.State()
        self.waiters: dict[str, decision_future.DecisionFuture] = {}
        self.is_leaving = async_value.AsyncValue[bool](False)
        self.plain_health = plain_health.PlainHealth()
        self.active_requests = async_value.AsyncValue[int](0)

    def is_large(self) -> bool:
        """Whether there are too many instances to track those of other data centres."""
        return self.total_instances > MAX_LISTED_INSTANCES

    def new_id(self) -> str:
        """Return a random id of 32 hexadecimal digits."""
        return f"{self.rng.getrandbits(128):032x}"
