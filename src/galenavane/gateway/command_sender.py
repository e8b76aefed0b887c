"""Sends the controller's commands to targets."""

from __future__ import annotations

import functools

import trio

from galenavane.control import (
    controller,
    controller_state,
    group_command,
    join_confirmation,
    join_history,
)
from galenavane.fleet import target, target_report
from galenavane.gateway import boot_clock, lease_task, permits
from galenavane.gateway import state as states
from galenavane.net import message, round_trip, transport_error
from galenavane.observe import events

COMMAND_TIMEOUT_SECONDS = 0.5
"""Targets answer in milliseconds; a target that does not is sent the command again or left out."""
MAX_RESPONSE_BYTES = 65_536
CONFIRM_ATTEMPTS = 6
CONFIRM_INTERVAL_SECONDS = 0.1
"""A report is a few hundred milliseconds old, so a target that has just left a group is not
reported as free at first."""
UNCONFIRMED = "unconfirmed"
_ACCEPTED_STATUSES = (200, 202)


async def send(
    gw: states.Gateway,
    control: controller_state.Control,
    state: controller_state.ControllerState,
    command: group_command.Command,
) -> None:
    """Send one command, if the lease still allows it; its effect shows in the list of targets."""
    decided_at = trio.current_time()
    decided_revision = gw.registry.revision
    list_age = boot_clock.now() - gw.config_state.store_answered_at
    outstanding = _count_outstanding(state, command)
    try:
        if isinstance(command, group_command.Join):
            result = await _send_join(gw, control, state, command)
        elif isinstance(command, group_command.Leave):
            sent_before = controller_state.note_leave(state, command)
            status = await _send_repeatable(gw, control, command)
            if status in _ACCEPTED_STATUSES:
                controller_state.record_left(state, command, sent_before)
            result = str(status)
        else:
            result = str(await _send_repeatable(gw, control, command))
    except transport_error.TransportError as exc:
        result = exc.kind.value
    name = type(command).__name__.lower()
    key = None if isinstance(command, group_command.Stage) else command.key
    seen = command.target.membership
    events.log(
        "command.given",
        command=name,
        target=command.target.id,
        group=key.name if key is not None else "",
        epoch=key.epoch if key is not None else 0,
        model=getattr(command, "model", ""),
        token=state.token,
        revision=decided_revision,
        list_age=round(list_age, 3),
        seen_group=seen.group if seen is not None else "",
        seen_state=seen.state.value if seen is not None else "",
        is_conditional=isinstance(command, group_command.Join) and command.is_conditional,
        outstanding=outstanding,
        seconds=round(trio.current_time() - decided_at, 3),
        result=result,
    )
    gw.metrics.commands.inc({"command": name, "result": result})
    if result == transport_error.Kind.NOT_CONNECTED.value:
        controller.report_unreachable(state, command.target.id, trio.current_time())


def _count_outstanding(
    state: controller_state.ControllerState, command: group_command.Command
) -> int:
    """Return how many joins the target may still carry out, without the command itself."""
    history = controller_state.find_join_history(state, command.target)
    return join_history.count_outstanding(history) - isinstance(command, group_command.Join)


async def _send_repeatable(
    gw: states.Gateway, control: controller_state.Control, command: group_command.Command
) -> int:
    """Send a command that may be sent twice; return the status of its answer.

    It goes over a connection of its own: answers to commands carry no id, so on a kept connection
    an earlier one that is written again would be taken for it.

    :raises TransportError: if the target doesn't answer.
    """
    response = await round_trip.send(
        gw.net,
        command.target.address,
        gw.codec.make_command_request(command),
        COMMAND_TIMEOUT_SECONDS,
        MAX_RESPONSE_BYTES,
        is_allowed=lambda: lease_task.may_command(gw, control),
    )
    permits.record_notice(gw, command.target, gw.codec.decode_notice(response))
    return response.status


async def _send_join(
    gw: states.Gateway,
    control: controller_state.Control,
    state: controller_state.ControllerState,
    join: group_command.Join,
) -> str:
    """Send a join and record its outcome; return the outcome as it is logged.

    :raises TransportError: if the target doesn't answer.
    """
    try:
        confirmed = await _confirm(gw, join) if join.is_conditional else join
    except transport_error.TransportError:
        controller_state.record_join_end(state, join, is_accepted=False)
        raise
    if confirmed is None:
        controller_state.record_join_end(state, join, is_accepted=False)
        return UNCONFIRMED
    try:
        response = await _send_join_once(gw, control, state, confirmed)
    except transport_error.TransportError as exc:
        if not exc.has_sent_bytes:
            controller_state.record_join_end(state, join, is_accepted=False)
        raise
    controller_state.record_join_end(state, join, response.status in _ACCEPTED_STATUSES)
    return str(response.status)


async def _send_join_once(
    gw: states.Gateway,
    control: controller_state.Control,
    state: controller_state.ControllerState,
    join: group_command.Join,
) -> message.Response:
    """Send a join, which is never sent twice."""
    is_allowed = functools.partial(_may_send_join, gw, control, state, join)
    response = await round_trip.send(
        gw.net,
        join.target.address,
        gw.codec.make_command_request(join),
        COMMAND_TIMEOUT_SECONDS,
        MAX_RESPONSE_BYTES,
        is_allowed=is_allowed,
    )
    permits.record_notice(gw, join.target, gw.codec.decode_notice(response))
    return response


def _may_send_join(
    gw: states.Gateway,
    control: controller_state.Control,
    state: controller_state.ControllerState,
    join: group_command.Join,
) -> bool:
    return lease_task.may_command(gw, control) and controller_state.may_send_join(state, join)


async def _confirm(gw: states.Gateway, join: group_command.Join) -> group_command.Join | None:
    """Return the join with the command count that the target reports in the listed state.

    :returns: ``None`` if the target does not report that state in time.
    :raises TransportError: if the target does not answer.
    """
    for attempt in range(CONFIRM_ATTEMPTS):
        if attempt:
            await trio.sleep(CONFIRM_INTERVAL_SECONDS)
        report = await read_report(gw, join.target)
        confirmed = join_confirmation.confirm(join, report) if report is not None else None
        if confirmed is not None:
            return confirmed
    return None


async def read_report(
    gw: states.Gateway, listed_target: target.Target
) -> target_report.TargetReport | None:
    """Return a target's report on itself, ``None`` if it is malformed.

    It is read over a connection of its own, like the answers to commands.

    :raises TransportError: if the target does not answer.
    """
    response = await round_trip.send(
        gw.net,
        listed_target.address,
        gw.codec.make_report_request(),
        COMMAND_TIMEOUT_SECONDS,
        MAX_RESPONSE_BYTES,
    )
    permits.record_notice(gw, listed_target, gw.codec.decode_notice(response))
    return gw.codec.decode_report(listed_target, response.body) if response.status == 200 else None
