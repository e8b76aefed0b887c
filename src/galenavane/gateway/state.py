"""State that the tasks of one entry process share."""

from __future__ import annotations

import dataclasses
import random
from collections import abc

import msgspec
import trio

from galenavane.catalog import engine
from galenavane.config import settings as settings_types
from galenavane.control import controller_state
from galenavane.fleet import group_index, replica_group, target_registry
from galenavane.gateway import (
    attempts,
    boot_clock,
    codec,
    config_state,
    gateway_metrics,
    lease,
    object_store,
    peer_message,
    peers,
    settings,
)
from galenavane.net import buffer_budget, network
from galenavane.peer import transport
from galenavane.route import (
    accept_pause,
    head_watch,
    prompt_suspects,
    send_budget,
    target_permit,
)

STALL_DEDUP_SECONDS = 1.0
"""Reports of the same stall by several entries within this time are forwarded once."""
HOLDS_PER_CONTACT = 3
"""Requests are held for this share of the time in which entries have to hear of a change."""
ANSWER_MEMORY_SHARE = 1 / 6
"""Of the instance's memory, for answers that are kept. On an instance of 200 MB the largest answer
fits into half of it. An answer takes about three times its size while it is joined and written."""
REQUEST_MEMORY_SHARE = 1 / 16
"""Of the instance's memory, for bodies of requests."""
RELAY_CHOICE_SECONDS = 0.05
"""How long a choice of relays is used; short against the time after which one counts as lost."""


class WaitingRequest(msgspec.Struct, frozen=True):
    """A request that a head has not answered far enough to show that it can.

    :ivar parts: the parts of its prompt that other requests may share.
    :ivar sent_at: time on trio's clock.
    :ivar prefill_seconds: how long the prefill of its prompt takes at least.
    :ivar is_probe: whether some of the parts are suspected to crash targets.
    """

    parts: tuple[str, ...]
    prompt_tokens: int
    sent_at: float
    prefill_seconds: float = 0.0
    is_probe: bool = False


@dataclasses.dataclass(slots=True)
class PartNewsQueue:
    """News about parts of prompts that wait to be sent; times are on trio's clock.

    :ivar crashes: each with the time at which it was queued.
    :ivar probes: the same.
    :ivar cleared: time of the success by part.
    """

    crashes: list[tuple[peer_message.PartCrash, float]] = dataclasses.field(default_factory=list)
    probes: list[tuple[peer_message.PartProbe, float]] = dataclasses.field(default_factory=list)
    cleared: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(slots=True)
class PartNews:
    """News about parts of prompts, by who gets them.

    :ivar for_all: for this entry's relays and subscribers.
    :ivar for_near: for its subscribers in its data centre.
    :ivar is_filled: set when something was queued.
    """

    for_all: PartNewsQueue = dataclasses.field(default_factory=PartNewsQueue)
    for_near: PartNewsQueue = dataclasses.field(default_factory=PartNewsQueue)
    is_filled: trio.Event = dataclasses.field(default_factory=trio.Event)


@dataclasses.dataclass(slots=True)
class HeadRequests:
    """The requests of this entry at one head.

    :ivar attempts: attempts by request id.
    :ivar is_checking: whether the group's members are being checked now.
    :ivar waiting: waiting requests by id.
    :ivar ended: requests whose connections were reset, until they are sent elsewhere.
    :ivar suspected_until: until when the head is avoided for its silence, on trio's clock.
    :ivar crash_check: set at the end of a check whether the head has crashed, ``None`` for none.
    :ivar has_crashed: result of the last such check.
    """

    group_key: replica_group.Key
    activity: head_watch.Activity
    attempts: dict[str, attempts.GroupAttempt] = dataclasses.field(default_factory=dict)
    is_checking: bool = False
    waiting: dict[str, WaitingRequest] = dataclasses.field(default_factory=dict)
    ended: set[str] = dataclasses.field(default_factory=set)
    suspected_until: float = 0.0
    crash_check: trio.Event | None = None
    has_crashed: bool = False

    @property
    def has_probe(self) -> bool:
        """Whether a waiting request may crash the head."""
        return any(request.is_probe for request in self.waiting.values())


class Gateway:
    """The state of one entry process.

    :ivar control: state of the controller, ``None`` while this entry may not command.
    :ivar lapsed_control: state of the controller while this entry's lease has lapsed.
    :ivar suspects: targets that are avoided, and until when, on trio's clock.
    :ivar waits: targets that asked to be left alone for a while.
    :ivar accept_pauses: targets without a group that answered no attempt to connect.
    :ivar listing_seconds: interval at which the list of entries is read.
    :ivar reported_loads: requests of this entry by head, as last sent to relays.
    :ivar answer_budget: memory for answers that are kept until they are complete.
    :ivar request_budget: memory for the bodies of clients' requests.
    :ivar known_stalls: stalls that were reported, and when, on trio's clock.
    :ivar pending_stalls: service, key and missing members of stalled groups to be checked.
    :ivar stalls_in_check: stalled groups whose members are being checked.
    :ivar prompt_suspects: parts of prompts that are suspected to crash targets.
    :ivar part_news: news about parts of prompts that wait to be sent.
    :ivar parts_changed: set and replaced when a part was suspected, blocked or cleared.
    :ivar blocks_shared_at: when blocked parts were last sent to peers, on trio's clock.
    :ivar target_in_flight: requests of this entry at each target without a group.
    :ivar is_stopping: whether the process was asked to stop.
    :ivar is_closing: whether answers close their connections.
    :ivar ends_at: when the work on requests ends because the process stops, on trio's clock.
    :ivar active_requests: number of requests being served.
    :ivar control_wakeup: set and replaced to wake the control task, mostly after target changes.
    """

    __slots__ = (
        "_own_relays",
        "_own_relays_until",
        "accept_pauses",
        "active_requests",
        "answer_budget",
        "behind_since",
        "blocks_shared_at",
        "cfg",
        "codec",
        "config_state",
        "control",
        "control_wakeup",
        "data_centre",
        "ends_at",
        "heads",
        "holder_report",
        "incarnation",
        "is_closing",
        "is_stopping",
        "known_stalls",
        "lapsed_control",
        "last_request_at",
        "lease",
        "listing_seconds",
        "metrics",
        "name",
        "net",
        "part_news",
        "parts_changed",
        "peers",
        "pending_stalls",
        "prompt_suspects",
        "registry",
        "reported_loads",
        "request_budget",
        "rng",
        "send_budgets",
        "stalls_in_check",
        "store",
        "suspects",
        "target_in_flight",
        "transport",
        "waits",
    )

    def __init__(
        self,
        cfg: settings_types.Settings,
        incarnation: str,
        store: object_store.ObjectStore,
        wire_codec: codec.Codec,
        net: network.Network,
        peer_transport: transport.Transport,
        rng: random.Random,
    ) -> None:
        self.cfg = cfg
        self.name = cfg.get(settings.NAME)
        self.data_centre = cfg.get(settings.DATA_CENTRE)
        self.incarnation = incarnation
        self.store = store
        self.codec = wire_codec
        memory_bytes = cfg.get(settings.MEMORY) * 1e6
        self.answer_budget = buffer_budget.Budget(memory_bytes * ANSWER_MEMORY_SHARE)
        self.request_budget = buffer_budget.Budget(memory_bytes * REQUEST_MEMORY_SHARE)
        self.net = net
        self.transport = peer_transport
        self.rng = rng
        self.config_state = config_state.ConfigState()
        self.registry = target_registry.Registry()
        self.peers: dict[str, peers.Peer] = {}
        self.listing_seconds = 0.0
        self.lease = lease.LeaseState(f"{self.name}/{incarnation}")
        self.holder_report = lease.HolderReport()
        self.control: controller_state.Control | None = None
        self.lapsed_control: controller_state.Control | None = None
        self.behind_since = float("-inf")
        self.reported_loads: dict[str, int] = {}
        self.known_stalls: dict[replica_group.Key, float] = {}
        self.pending_stalls: list[tuple[str, replica_group.Key, tuple[str, ...]]] = []
        self.stalls_in_check: set[replica_group.Key] = set()
        self.heads: dict[str, HeadRequests] = {}
        self.suspects: dict[str, float] = {}
        self.waits: dict[str, target_permit.Wait] = {}
        self.accept_pauses: dict[str, accept_pause.Pause] = {}
        self.prompt_suspects = prompt_suspects.Suspects(
            proof_seconds=cfg.get(settings.CONTACT),
            block_seconds=cfg.get(settings.PROMPT_BLOCK),
            probe_seconds=cfg.get(settings.CONTACT),
            hold_seconds=cfg.get(settings.CONTACT) / HOLDS_PER_CONTACT,
        )
        self.part_news = PartNews()
        self.parts_changed = trio.Event()
        self.blocks_shared_at = float("-inf")
        self.send_budgets: dict[str, send_budget.SendBudget] = {}
        self.target_in_flight: dict[str, int] = {}
        self.metrics = gateway_metrics.make()
        self.is_stopping = False
        self.is_closing = False
        self.ends_at = float("inf")
        self.active_requests = 0
        self.last_request_at = float("-inf")
        self.control_wakeup = trio.Event()
        self._own_relays: list[str] = []
        self._own_relays_until = float("-inf")

    def wake_control(self) -> None:
        """Wake the control task now, if this entry commands."""
        if self.control is None:
            return
        self.control_wakeup.set()
        self.control_wakeup = trio.Event()

    def note_parts_changed(self) -> None:
        """Let the requests that are held be decided on again."""
        self.parts_changed.set()
        self.parts_changed = trio.Event()

    def find_groups(
        self, service: str, constants: engine.Engine
    ) -> abc.Mapping[replica_group.Key, replica_group.Group]:
        """Return the groups of a service."""
        return group_index.find_groups(self.registry.index, service, constants)

    def get_send_budget(self, service: str) -> send_budget.SendBudget:
        """Return the budget of a service for sends beyond the first."""
        budget = self.send_budgets.get(service)
        if budget is None:
            cfg = self.cfg
            budget = self.send_budgets[service] = send_budget.SendBudget(
                cfg.get(settings.RETRY_RATIO),
                cfg.get(settings.RETRY_SLACK),
                cfg.get(settings.RETRY_WINDOW),
            )
        return budget

    def count_entries(self) -> int:
        """Return the number of known entries, this one included."""
        return 1 + len(self.peers)

    def choose_own_relays(self, now: float) -> list[str]:
        """Return the relays of this entry's data centre, first choice first.

        The choice is kept for a moment, as each request asks for it.
        """
        if now >= self._own_relays_until:
            self._own_relays_until = now + RELAY_CHOICE_SECONDS
            bandwidth = self.cfg.get(settings.BANDWIDTH)
            self._own_relays = peers.choose_relays(
                self.peers, self.data_centre, now, self.name, bandwidth
            )
        return self._own_relays

    def drop_peer(self, name: str) -> None:
        """Forget another entry, which may have been chosen as a relay."""
        self.peers.pop(name, None)
        self._own_relays_until = float("-inf")

    def sum_head_loads(self) -> dict[str, int]:
        """Return the requests of all entries by head, with this entry's own as they are now."""
        now = boot_clock.now()
        relay_names = self.choose_own_relays(now)
        relay = next(
            (self.peers[relay_name] for relay_name in relay_names if relay_name in self.peers), None
        )
        own_loads = {
            head_id: len(head_requests.attempts)
            for head_id, head_requests in self.heads.items()
            if head_requests.attempts
        }
        if self.name in relay_names or relay is None or relay.heartbeat is None:
            local_loads = peers.sum_local_loads(self.peers, self.data_centre, own_loads, now)
            return peers.sum_all_loads(self.peers, self.data_centre, local_loads, now)
        loads = peers.sum_loads([relay.heartbeat.all_loads])
        for head_id in {*own_loads, *self.reported_loads}:
            change = own_loads.get(head_id, 0) - self.reported_loads.get(head_id, 0)
            loads[head_id] = max(own_loads.get(head_id, 0), loads.get(head_id, 0) + change)
        return loads

    def record_stall(self, key: replica_group.Key) -> bool:
        """Record the report of a stall; return whether it is the first one recently."""
        now = trio.current_time()
        is_new = now - self.known_stalls.get(key, float("-inf")) > STALL_DEDUP_SECONDS
        if is_new:
            self.known_stalls = {
                known_key: reported_at
                for known_key, reported_at in self.known_stalls.items()
                if now - reported_at <= STALL_DEDUP_SECONDS
            }
            self.known_stalls[key] = now
        return is_new

    def may_use_keys(self) -> bool:
        """Whether keys of the configuration may be accepted now."""
        revoke = self.cfg.get(settings.REVOKE)
        return config_state.may_use_keys(self.config_state, revoke, boot_clock.now())

    def may_begin(self, deadline: float) -> bool:
        """Whether a request that no target has got yet may be sent to one.

        While the entry stops, another one serves it if this one might not see its answer.

        :param deadline: when its response is due, on trio's clock.
        """
        return not self.is_closing or deadline <= self.ends_at

    def suspect(self, target_id: str, seconds: float) -> None:
        """Avoid a target for a while."""
        self.suspect_until(target_id, trio.current_time() + seconds)

    def suspect_until(self, target_id: str, until: float) -> None:
        """Avoid a target until a time on trio's clock."""
        self.suspects[target_id] = max(until, self.suspects.get(target_id, 0.0))

    def is_suspect(self, target_id: str) -> bool:
        """Whether a target is avoided now."""
        until = self.suspects.get(target_id)
        if until is None:
            return False
        if trio.current_time() < until:
            return True
        del self.suspects[target_id]
        return False
