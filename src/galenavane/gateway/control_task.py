"""Sends targets the controller's commands while this entry holds the lease."""

from __future__ import annotations

from collections import abc

import trio

from galenavane.catalog import engine
from galenavane.control import controller, controller_state
from galenavane.fleet import group_index, replica_group, target, target_registry
from galenavane.gateway import boot_clock, command_sender, member_check, stall_check
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
MEMBER_CHECK_INTERVAL_SECONDS = 0.3
"""Delay between checks of members whose list entries expired and of targets that don't answer."""
REPORT_INTERVAL_SECONDS = 0.25
"""Reports are a few hundred milliseconds old, so polling more often shows nothing new."""


async def run(gw: states.Gateway) -> None:
    """Run the controller while this entry holds the lease, and the tasks that support it."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_run_report_polling, gw)
        nursery.start_soon(_run_member_checks, gw)
        nursery.start_soon(_run_summary, gw)
        while True:
            wakeup = gw.control_wakeup
            stall_check.start(gw, nursery)
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


async def _run_member_checks(gw: states.Gateway) -> None:
    """Check members whose list entries expired, and targets that did not answer, again and again.

    A member that answers has only lost the store.
    """
    while True:
        await trio.sleep(MEMBER_CHECK_INTERVAL_SECONDS)
        if gw.control is None:
            continue
        unlisted = [unlisted_member.target for unlisted_member in gw.registry.unlisted.values()]
        unanswering = [
            gw.registry.targets[target_id]
            for state in gw.control.services.values()
            for target_id in state.unreachable_until
            if target_id in gw.registry.targets
        ]
        if not unlisted and not unanswering:
            continue
        unreachable = await member_check.find_unreachable(gw, [*unlisted, *unanswering])
        for member in unlisted:
            membership = member.membership
            if member.id in unreachable.all and membership is not None:
                key = replica_group.Key(membership.group, membership.epoch)
                gw.pending_stalls.append((member.service, key, (member.id,)))
                gw.wake_control()
        _note_answers(gw, unanswering, unreachable)


def _note_answers(
    gw: states.Gateway,
    unanswering: abc.Sequence[target.Target],
    unreachable: member_check.Unreachable,
) -> None:
    """Use targets again that answer after all: they have paused or started again."""
    if gw.control is None:
        return
    for listed_target in unanswering:
        if listed_target.id not in unreachable.all:
            state = controller_state.find_service(gw.control, listed_target.service)
            if controller.report_reachable(state, listed_target.id):
                events.log("target.answers", target=listed_target.id)
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
