"""Status of an entry for operators."""

from __future__ import annotations

import math

import msgspec
import trio

from galenavane.config import declaration, settings
from galenavane.control import completeness, instance_status, table
from galenavane.entry import view as views
from galenavane.observe import meter
from galenavane.store import instance


class GroupStatus(msgspec.Struct, frozen=True):
    """Status of a group as known to this entry.

    :ivar complete: whether recent reports confirm every member in the group.
    :ivar members: instance names, leader first.
    """

    name: str
    service: str
    data_centre: str
    version: str
    epoch: int
    phase: table.Phase
    complete: bool
    members: list[str]


class PeerStatus(msgspec.Struct, frozen=True):
    """Status of a peer as known to this entry.

    :ivar generation: configuration generation in force there, 0 for none.
    :ivar age_seconds: time since its last message.
    """

    name: str
    data_centre: str
    generation: int
    leaving: bool
    age_seconds: float


class EntryStatus(msgspec.Struct, frozen=True):
    """Status of one entry, as shown by ``galenavane status``.

    :ivar generation: generation of the configuration in force, 0 for none.
    :ivar preset: name of the active preset.
    :ivar platform_generation: generation last read from the platform, 0 before the first read.
    :ivar dropped_messages: number of dropped messages of peers.
    :ivar token: fencing token while this entry holds the lease, else ``None``.
    :ivar leaving: whether this entry is stopping.
    :ivar active: callers' requests in flight.
    :ivar wanted: number of groups that the preset wants in this data centre.
    :ivar stranded: names of this data centre's engines that are in no complete group.
    :ivar leaving_targets: names of instances that the platform lists as leaving.
    :ivar downtime_seconds: total time in which wanted groups could not serve.
    :ivar stranded_seconds: total time in which accelerators were idle, except for those that no
        wanted group needs.
    :ivar platform_age_seconds: time since the platform last returned the list of instances;
        ``None`` if it never did.
    :ivar tables_age_seconds: time since an assignment table last changed; ``None`` if none did.
    :ivar reports_age_seconds: time since the statuses of targets were last published; ``None`` if
        they never were.
    """

    name: str
    incarnation: str
    data_centre: str
    generation: int
    preset: str
    platform_generation: int
    dropped_messages: int
    token: int | None
    leaving: bool
    active: int
    peers: list[PeerStatus]
    groups: list[GroupStatus]
    wanted: int
    stranded: list[str]
    leaving_targets: list[str]
    downtime_seconds: float
    stranded_seconds: float
    platform_age_seconds: float | None
    tables_age_seconds: float | None
    reports_age_seconds: float | None


def describe(view: views.View) -> EntryStatus:
    """Return the status of this entry."""
    configuration = view.configuration.value
    now = trio.current_time()
    groups = describe_groups(view)
    return EntryStatus(
        name=view.cfg.get(settings.NAME),
        incarnation=view.incarnation,
        data_centre=view.cfg.get(settings.DATA_CENTRE),
        generation=configuration.head.generation if configuration else 0,
        preset=configuration.head.preset if configuration else "",
        platform_generation=view.platform_generation.value,
        dropped_messages=view.dropped_messages.value,
        token=view.token.value,
        leaving=view.is_leaving.value,
        active=view.active_requests.value,
        peers=_describe_peers(view, now),
        groups=groups,
        wanted=count_wanted_groups(view),
        stranded=list_idle_engines(view, groups),
        leaving_targets=_list_leaving_instances(view),
        downtime_seconds=view.meter.downtime_seconds,
        stranded_seconds=view.meter.stranded_seconds,
        platform_age_seconds=_compute_age(view.instances.set_at, now),
        tables_age_seconds=_compute_age(view.tables.set_at, now),
        reports_age_seconds=_compute_age(view.instance_statuses.set_at, now),
    )


def sample_groups(view: views.View) -> meter.Sample:
    """Return a sample of the groups and engines of this data centre for the meter."""
    own = view.cfg.get(settings.DATA_CENTRE)
    groups = [group for group in describe_groups(view) if group.data_centre == own]
    complete = sum(group.complete and group.phase is table.Phase.ACTIVE for group in groups)
    idle = len(list_idle_engines(view, groups))
    needed = _count_wanted_members(view) - sum(
        len(group.members) for group in groups if group.complete
    )
    return meter.Sample(count_wanted_groups(view), complete, idle, max(0, idle - max(0, needed)))


def count_wanted_groups(view: views.View) -> int:
    """Return how many groups the preset in force wants in this data centre."""
    return sum(
        run.replicas.get(view.cfg.get(settings.DATA_CENTRE), 0) for run in _list_preset_runs(view)
    )


def describe_groups(view: views.View) -> list[GroupStatus]:
    """Return the status of every group of all tables, sorted by name."""
    groups = [
        GroupStatus(
            group.name,
            group.service,
            data_centre,
            group.version,
            group.epoch,
            group.phase,
            completeness.is_complete(group, view.instance_statuses.value, trio.current_time()),
            [member.instance for member in group.members],
        )
        for data_centre, assignments in view.tables.value.items()
        for group in assignments.groups
    ]
    return sorted(groups, key=lambda group: group.name)


def list_idle_engines(view: views.View, groups: list[GroupStatus]) -> list[str]:
    """Return the names of this data centre's engines that are in no complete group."""
    busy = {name for group in groups if group.complete for name in group.members}
    own = view.cfg.get(settings.DATA_CENTRE)
    return sorted(
        name
        for name, target in view.instance_statuses.value.items()
        if name not in busy and _is_local_engine(target, own)
    )


def _list_preset_runs(view: views.View) -> list[declaration.Run]:
    configuration = view.configuration.value
    return configuration.list_runs() if configuration else []


def _count_wanted_members(view: views.View) -> int:
    configuration = view.configuration.value
    if configuration is None:
        return 0
    own = view.cfg.get(settings.DATA_CENTRE)
    services = {service.name: service.members for service in configuration.declared.services}
    return sum(
        run.replicas.get(own, 0) * services[run.service] for run in configuration.list_runs()
    )


def _is_local_engine(target: instance_status.InstanceStatus, data_centre: str) -> bool:
    return (target.instance.kind, target.instance.data_centre) == (
        instance.Kind.ENGINE,
        data_centre,
    )


def _list_leaving_instances(view: views.View) -> list[str]:
    leaving = instance.State.LEAVING
    return sorted(listed.name for listed in view.instances.value if listed.state is leaving)


def _describe_peers(view: views.View, now: float) -> list[PeerStatus]:
    statuses = [
        PeerStatus(
            peer.name, peer.data_centre, peer.generation, peer.is_leaving, now - peer.heard_at
        )
        for peer in view.peers.value
    ]
    return sorted(statuses, key=lambda status: status.name)


def _compute_age(set_at: float, now: float) -> float | None:
    return None if math.isinf(set_at) else now - set_at
