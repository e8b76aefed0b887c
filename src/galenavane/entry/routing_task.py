"""Tasks that feed group reports, peers' shared state and cache events to the router."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.config import settings
from galenavane.control import completeness, instance_status, table
from galenavane.entry import view as views
from galenavane.route import group_report, pool, router
from galenavane.serve import dispatch
from galenavane.store import instance

ROUTING_INTERVAL_SECONDS = 0.1
PUBLISH_INTERVAL_SECONDS = 0.5
CACHE_POLL_SECONDS = 1.0
CACHE_CALLS_PER_SECOND = 10
MAX_CACHE_CALLS = 8
REMOTE_LATENCY_SECONDS = 0.002


async def run(view: views.View) -> None:
    """Keep the router's inputs up to date until cancelled."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_update_routing, view)
        nursery.start_soon(_publish_own_state, view)
        nursery.start_soon(_follow_caches, view)


async def _update_routing(view: views.View) -> None:
    processed_until = float("-inf")
    while True:
        newest = max(view.instance_statuses.set_at, view.tables.set_at, view.peer_states.set_at)
        if newest > processed_until:
            _pass_peer_states(view)
            router.update_groups(view.router, find_routable_groups(view), trio.current_time())
            processed_until = newest
        dispatch.apply_decisions(view, router.step(view.router, trio.current_time(), view.rng))
        await trio.sleep(ROUTING_INTERVAL_SECONDS)


def _pass_peer_states(view: views.View) -> None:
    states = {name: peer.state for name, peer in view.peer_states.value.items()}
    router.update_peers(view.router, states, _count_unheard_entries(view))


async def _publish_own_state(view: views.View) -> None:
    while True:
        view.own_shared_state.publish(router.describe_for_peers(view.router, trio.current_time()))
        await trio.sleep(PUBLISH_INTERVAL_SECONDS)


async def _follow_caches(view: views.View) -> None:
    """Poll the cache events of local groups' leaders in turn.

    The rate of calls does not grow with the number of groups.
    """
    limiter = trio.CapacityLimiter(MAX_CACHE_CALLS)
    async with trio.open_nursery() as nursery:
        while True:
            leaders = _list_local_leaders(view)
            pause = CACHE_POLL_SECONDS / min(max(1, len(leaders)), CACHE_CALLS_PER_SECOND)
            for name, address in leaders.items():
                if limiter.available_tokens:
                    nursery.start_soon(_follow_cache, view, limiter, name, address)
                await trio.sleep(pause)
            if not leaders:
                await trio.sleep(pause)


def _list_local_leaders(view: views.View) -> dict[str, str]:
    """Return the addresses of the leaders in this data centre, by group name."""
    return {
        name: tracked.report.address
        for name, tracked in view.router.groups.by_name.items()
        if tracked.report.distance_seconds == 0.0
    }


async def _follow_cache(
    view: views.View, limiter: trio.CapacityLimiter, group: str, address: str
) -> None:
    async with limiter:
        after = view.router.prefix_index.last_number(group)
        events = await view.targets.fetch_cache_events(address, after)
    if events.is_ok() and group in view.router.groups.by_name:
        view.router.prefix_index.apply_events(group, events.ok)


def find_routable_groups(view: views.View) -> list[group_report.GroupReport]:
    """Return the complete groups that may be sent new requests."""
    now = trio.current_time()
    leaving = {name for peer in view.peer_states.value.values() for name in peer.state.leaving}
    return [
        _make_group_report(view, assignments.data_centre, group)
        for assignments in view.tables.value.values()
        for group in assignments.groups
        if _may_serve(group, view.instance_statuses.value, leaving, now)
    ]


def _may_serve(
    group: table.Group,
    statuses: abc.Mapping[str, instance_status.InstanceStatus],
    leaving: abc.Container[str],
    now: float,
) -> bool:
    if group.phase is not table.Phase.ACTIVE or not completeness.is_complete(group, statuses, now):
        return False
    return all(
        statuses[member.instance].instance.state is instance.State.LIVE
        and member.instance not in leaving
        for member in group.members
    )


def _make_group_report(
    view: views.View, data_centre: str, group: table.Group
) -> group_report.GroupReport:
    statuses = view.instance_statuses.value
    leader = group.members[0]
    leader_report = statuses[leader.instance].report
    assert leader_report is not None
    reported_at = statuses[leader.instance].reported_at
    oldest = min(statuses[member.instance].reported_at for member in group.members)
    is_own = data_centre == view.cfg.get(settings.DATA_CENTRE)
    return group_report.GroupReport(
        name=group.name,
        leader=leader.instance,
        address=leader.address,
        epoch=group.epoch,
        pool=pool.Pool(group.service, group.model, group.version),
        load=leader_report.load,
        as_of=reported_at - leader_report.load.age_seconds,
        adapters=frozenset(leader_report.adapters),
        distance_seconds=0.0 if is_own else REMOTE_LATENCY_SECONDS,
        complete_until=oldest + completeness.MAX_REPORT_AGE_SECONDS,
    )


def _count_unheard_entries(view: views.View) -> int:
    """Return how many entries are listed as live without any state received from them."""
    names_with_state = {view.cfg.get(settings.NAME), *view.peer_states.value}
    return sum(
        listed.kind is instance.Kind.ENTRY
        and listed.state is instance.State.LIVE
        and listed.name not in names_with_state
        for listed in view.instances.value
    )
