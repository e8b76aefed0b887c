"""Sends targets the controller's commands while this entry holds the lease."""

from __future__ import annotations

import trio

from galenavane.catalog import engine
from galenavane.control import controller, controller_state
from galenavane.fleet import group_index, replica_group, target, target_registry
from galenavane.gateway import boot_clock, command_sender, member_check
from galenavane.gateway import state as states
from galenavane.net import transport_error
from galenavane.observe import events

TICK_SECONDS = 0.2
IDLE_TICK_SECONDS = 1.0
"""Interval at an entry that does not hold the lease; it is woken when it gains it."""
STORE_TIMEOUT_SECONDS = 1.7
"""The watch of the configuration ends twice a second. When the store is silent for much longer, the
list of targets does not show the effect of commands, so the targets themselves are polled."""
SUMMARY_INTERVAL_SECONDS = 1.0
"""Only the lease holder logs the summary: two lines a second."""
UNLISTED_CHECK_INTERVAL_SECONDS = 0.3
"""Delay between checks of members whose list entries expired; an unreachable one ends its group."""
REPORT_INTERVAL_SECONDS = 0.25
"""Reports are a few hundred milliseconds old, so polling more often shows nothing new."""


async def run(gw: states.Gateway) -> None:
    """Run the controller while this entry holds the lease, and the tasks that support it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_report_polling, gw)
        nursery.start_soon(_run_unlisted_checks, gw)
        nursery.start_soon(_run_summary, gw)
        while True:
            wakeup = gw.control_wakeup
            _start_stall_checks(gw, nursery)
            if gw.control is not None and not gw.is_stopping:
                _start_commands(gw, gw.control, nursery)
            with trio.move_on_after(TICK_SECONDS if gw.control is not None else IDLE_TICK_SECONDS):
                await wakeup.wait()


def _start_commands(
    gw: states.Gateway, control: controller_state.Control, nursery: trio.Nursery
) -> None:
    catalog = gw.config_state.catalog
    if catalog is None:
        return
    has_traffic = bool(gw.target_in_flight) or any(gw.sum_head_loads().values())
    now = trio.current_time()
    for service in catalog.engine_services():
        if service.engine is None:
            continue
        state = controller_state.find_service(control, service.name)
        state.has_traffic = state.has_traffic or has_traffic
        controller.record_load(
            state, _count_load(gw, service.name, service.engine), service.engine, now
        )
        commands = controller.decide(state, gw.registry, service.name, service.engine, now)
        for command in commands:
            nursery.start_soon(command_sender.send, gw, control, state, command)


def _count_load(gw: states.Gateway, service: str, constants: engine.Engine) -> dict[str, float]:
    """Return the number of requests in flight at the heads of each model's groups."""
    loads = gw.sum_head_loads()
    counts: dict[str, float] = {}
    for group in gw.find_groups(service, constants).values():
        if group.head is not None:
            counts[group.model] = counts.get(group.model, 0.0) + loads.get(group.head.id, 0)
    return counts


def _start_stall_checks(gw: states.Gateway, nursery: trio.Nursery) -> None:
    """Start one check for each group that entries report as stalled."""
    stalls, gw.pending_stalls = gw.pending_stalls, []
    if gw.control is None:
        return
    for service, key, missing in stalls:
        if key not in gw.stalls_in_check:
            gw.stalls_in_check.add(key)
            nursery.start_soon(_check_stall, gw, service, key, missing)


async def _check_stall(
    gw: states.Gateway, service: str, key: replica_group.Key, missing: tuple[str, ...]
) -> None:
    """Check a stalled group's members from this entry, and dissolve the group if necessary."""
    stalled_group = _find_group(gw, service, key)
    if (
        stalled_group is None
        or gw.control is None
        or key in controller_state.find_service(gw.control, service).dissolving
    ):
        gw.stalls_in_check.discard(key)
        return
    # The entry that reported the stall has already tried twice.
    unreachable = await member_check.find_unreachable(gw, stalled_group.members, attempts=1)
    gw.stalls_in_check.discard(key)
    if gw.control is None:
        return
    state = controller_state.find_service(gw.control, service)
    # A member that this entry can reach is alive, whatever another entry reaches. A group without
    # an unreachable member is dissolved only if its head was reported silent for long, which is a
    # report without missing members.
    if unreachable or not missing:
        events.log(
            "group.dissolved",
            group=key.name,
            epoch=key.epoch,
            silent=",".join(unreachable),
            told=",".join(missing),
        )
        controller.report_stalled_group(state, key, unreachable, trio.current_time())
        gw.wake_control()
    else:
        events.log("group.kept", group=key.name, epoch=key.epoch, told=",".join(missing))


def _find_group(
    gw: states.Gateway, service: str, key: replica_group.Key
) -> replica_group.Group | None:
    catalog = gw.config_state.catalog
    declared = catalog.services.get(service) if catalog is not None else None
    if declared is None or declared.engine is None:
        return None
    return gw.find_groups(service, declared.engine).get(key)


async def _run_summary(gw: states.Gateway) -> None:
    """Log how many groups are serving, so that refused requests can be traced to missing groups."""
    while True:
        await trio.sleep(SUMMARY_INTERVAL_SECONDS)
        catalog = gw.config_state.catalog
        for service in catalog.engine_services() if catalog is not None else ():
            if service.engine is None:
                continue
            groups = gw.find_groups(service.name, service.engine).values()
            for model in service.engine.models:
                serving = sum(group.model == model.name and group.is_serving for group in groups)
                gw.metrics.groups.set({"model": model.name}, serving)
                if gw.control is not None:
                    state = controller_state.find_service(gw.control, service.name)
                    _log_summary(gw, state, model.name, serving)


def _log_summary(
    gw: states.Gateway, state: controller_state.ControllerState, model: str, serving: int
) -> None:
    standbys = sum(
        listed_target.model == model
        and listed_target.membership is not None
        and listed_target.membership.group.startswith(controller_state.STANDBY_PREFIX)
        for listed_target in gw.registry.targets.values()
    )
    events.log(
        "groups.state",
        model=model,
        serving=serving,
        forming=sum(forming.model.name == model for forming in state.forming.values()),
        spares=standbys,
        loading=len(state.loading or ()),
        targets=len(gw.registry.targets),
        revision=gw.registry.revision,
        token=state.token,
    )


async def _run_unlisted_checks(gw: states.Gateway) -> None:
    """Check members whose list entries expired; one that answers has only lost the store."""
    while True:
        await trio.sleep(UNLISTED_CHECK_INTERVAL_SECONDS)
        unlisted = [unlisted_member.target for unlisted_member in gw.registry.unlisted.values()]
        if gw.control is None or not unlisted:
            continue
        unreachable = await member_check.find_unreachable(gw, unlisted)
        if gw.control is None:
            continue
        for member in unlisted:
            membership = member.membership
            if member.id in unreachable and membership is not None:
                key = replica_group.Key(membership.group, membership.epoch)
                events.log(
                    "member.lost", target=member.id, group=membership.group, epoch=membership.epoch
                )
                target_registry.drop_unlisted(gw.registry, member.id)
                state = controller_state.find_service(gw.control, member.service)
                controller.report_stalled_group(state, key, [member.id], trio.current_time())
                gw.wake_control()


async def _run_report_polling(gw: states.Gateway) -> None:
    """Poll targets whose groups are forming, dissolving or closing, while the store is silent."""
    while True:
        await trio.sleep(REPORT_INTERVAL_SECONDS)
        control = gw.control
        if (
            control is None
            or boot_clock.now() - gw.config_state.store_answered_at < STORE_TIMEOUT_SECONDS
        ):
            continue
        polled_targets = _find_commanded_targets(gw, control)
        async with trio.open_nursery() as nursery:
            for polled_target in polled_targets:
                nursery.start_soon(poll_report, gw, polled_target)
        if polled_targets:
            gw.wake_control()


def _find_commanded_targets(
    gw: states.Gateway, control: controller_state.Control
) -> list[target.Target]:
    target_ids: set[str] = set()
    for service, state in control.services.items():
        target_ids |= controller_state.find_forming_ids(state)
        keys = set(state.dissolving) | set(state.closing)
        for listed_target in gw.registry.targets.values():
            if listed_target.service == service and group_index.find_key(listed_target) in keys:
                target_ids.add(listed_target.id)
    return [
        gw.registry.targets[target_id]
        for target_id in sorted(target_ids)
        if target_id in gw.registry.targets
    ]


async def poll_report(gw: states.Gateway, polled_target: target.Target) -> None:
    """Update a target in the list by its own report, unless the store answers first."""
    started_at = boot_clock.now()
    try:
        report = await command_sender.read_report(gw, polled_target)
    except transport_error.TransportError:
        return
    # The list is newer than the report if the store has answered meanwhile.
    if report is not None and gw.config_state.store_answered_at < started_at:
        target_registry.put(gw.registry, report.target)
