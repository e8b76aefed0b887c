"""What the tasks of one entry have published."""

from __future__ import annotations

import random

from galenavane.config import in_force, settings
from galenavane.control import sighting, table
from galenavane.entry import latest
from galenavane.net import network
from galenavane.observe import meter, metrics
from galenavane.peer import facts, members, transport
from galenavane.platform import api, instance
from galenavane.route import router
from galenavane.serve import waiter
from galenavane.target import api as target_api


class View:
    """The latest facts, each published by the one task that owns it.

    :ivar seen: reports of targets by instance name.
    :ivar tables: assignment tables by data centre.
    :ivar token: fencing token while the lease of the data centre is held.
    :ivar own_facts: what this entry tells its peers; admission and picking publish it.
    :ivar peer_facts: what peers told, by peer name; the peer task publishes it.
    :ivar router: state of admission and picking, owned by ``serve.dispatch``.
    :ivar waiters: requests that wait for routing's decision, by request id.
    :ivar leaving: whether this entry is stopping.
    :ivar active: callers' requests in flight.
    """

    __slots__ = (
        "active",
        "cfg",
        "configuration",
        "incarnation",
        "instances",
        "leaving",
        "meter",
        "metrics",
        "net",
        "own_facts",
        "peer_facts",
        "peers",
        "platform",
        "rng",
        "router",
        "seen",
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
        self.instances = latest.Latest[list[instance.Instance]]([])
        self.tables = latest.Latest[dict[str, table.Table]]({})
        self.seen = latest.Latest[dict[str, sighting.Sighting]]({})
        self.token = latest.Latest[int | None](None)
        self.peers = latest.Latest[list[members.Member]]([])
        self.own_facts = latest.Latest[facts.Facts](facts.Facts())
        self.peer_facts = latest.Latest[dict[str, facts.PeerFacts]]({})
        self.router = router.Router()
        self.waiters: dict[str, waiter.Waiter] = {}
        self.leaving = latest.Latest[bool](False)
        self.active = latest.Latest[int](0)

    def new_id(self) -> str:
        """Return a unique id of 32 hexadecimal digits."""
        return f"{self.rng.getrandbits(128):032x}"
