"""Detects stalled replica groups from the streams that this entry relays from their heads."""

from __future__ import annotations

import math
from collections import abc

import trio

from galenavane.catalog import engine
from galenavane.control import stall_decision
from galenavane.fleet import group_index, replica_group
from galenavane.gateway import member_check, peer_message, peer_updates
from galenavane.gateway import state as states
from galenavane.observe import events
from galenavane.route import head_watch

MIN_TICK_SECONDS = 0.02
MAX_TICK_SECONDS = 0.1
"""No head is due for a check sooner than this after the first request at it."""
MAX_LOOP_LAG_SECONDS = 0.1
"""If the event loop runs later than this, events may wait unread, so silence proves nothing."""
REPORTED_SUSPECT_SECONDS = 1.2
"""How long a head is avoided after a peer's stall report, which is repeated each second."""
REPORTED_STALL_PASSES = 1.3
"""Silence of a head, in engine passes, with which this entry confirms a peer's stall report."""
SUSPECT_SECONDS = 2.0
"""How long a stalled head is avoided: longer than re-forming its group under a new name takes."""


async def run(gw: states.Gateway) -> None:
    """Check every head in use when its silence is due for an assessment."""
    async with trio.open_nursery() as nursery:
        while True:
            started_at = trio.current_time()
            tick_seconds = _compute_tick_seconds(gw, started_at)
            await trio.sleep(tick_seconds)
            now = trio.current_time()
            if now - started_at > tick_seconds + MAX_LOOP_LAG_SECONDS:
                _reset_silences(gw, now)
                continue
            for head_id, head_requests in list(gw.heads.items()):
                _check_activity(gw, head_id, head_requests, now, nursery)


def _compute_tick_seconds(gw: states.Gateway, now: float) -> float:
    """Return the time in seconds until the first head is due for an assessment, within bounds."""
    due_at = min(
        (
            head_watch.next_evaluation_at(head_requests.activity, now)
            for head_requests in gw.heads.values()
        ),
        default=math.inf,
    )
    return min(max(due_at - now, MIN_TICK_SECONDS), MAX_TICK_SECONDS)


def _reset_silences(gw: states.Gateway, now: float) -> None:
    """Restart the measurement of silence at all heads, after the event loop was late."""
    for head_requests in gw.heads.values():
        head_requests.activity.last_event_at = max(head_requests.activity.last_event_at, now)


def _check_activity(
    gw: states.Gateway,
    head_id: str,
    head_requests: states.HeadRequests,
    now: float,
    nursery: trio.Nursery,
) -> None:
    attempts = head_requests.attempts.values()
    if attempts and all(attempt.is_delivering for attempt in attempts):
        # Clients that read slowly keep events waiting, so silence proves nothing.
        head_requests.activity.last_event_at = now
    verdict = head_watch.evaluate(head_requests.activity, now)
    if verdict is head_watch.Verdict.STALLED:
        if head_requests.activity.streaming:
            _report_stall(gw, head_id, head_requests, ())
        else:
            # A full head also keeps requests waiting, so this alone doesn't show a stalled group.
            _hedge_streams(gw, head_id, head_requests, ())
    elif verdict is head_watch.Verdict.CHECK and not head_requests.is_checking:
        head_requests.is_checking = True
        head_requests.activity.checked_at = now
        nursery.start_soon(_check_members, gw, head_id, head_requests)


async def _check_members(
    gw: states.Gateway, head_id: str, head_requests: states.HeadRequests
) -> None:
    activity = head_requests.activity
    started_at = trio.current_time()
    group = group_index.find_group(gw.registry.index, head_requests.group_key)
    unreachable = await member_check.find_unreachable(gw, group.members if group else ())
    head_requests.is_checking = False
    has_new_event = activity.last_event_at > started_at
    if has_new_event or gw.heads.get(head_id) is not head_requests:
        return
    if group is None:
        if not activity.is_stalled:
            _hedge_streams(gw, head_id, head_requests, ())
        # The head may be in another group already, whose requests don't wait for these.
        del gw.heads[head_id]
    elif unreachable.all or (activity.is_stalled and activity.streaming):
        _report_stall(gw, head_id, head_requests, unreachable.all)
        gone = stall_decision.find_gone(group, unreachable.refusing, gw.registry.unlisted)
        _end_attempts(head_requests, gone)


def _end_attempts(head_requests: states.HeadRequests, gone: abc.Sequence[str]) -> None:
    """Give up the attempts at a group that has lost members, which can't go on."""
    if not gone:
        return
    for attempt in list(head_requests.attempts.values()):
        attempt.cancel(f"members {', '.join(gone)} of the group are gone")


def _report_stall(
    gw: states.Gateway,
    head_id: str,
    head_requests: states.HeadRequests,
    unreachable: tuple[str, ...],
) -> None:
    """Hedge the streams of a stalled head, and report it to all entries."""
    if head_requests.activity.is_stalled:
        _suspect(gw, head_id, head_requests)
    else:
        _hedge_streams(gw, head_id, head_requests, unreachable)
    if not gw.record_stall(head_requests.group_key):
        return
    service = _find_service(gw, head_id)
    gw.pending_stalls.append((service, head_requests.group_key, unreachable))
    gw.wake_control()
    report = peer_message.StallReport(
        gw.name,
        service,
        head_id,
        head_requests.group_key.name,
        head_requests.group_key.epoch,
        list(unreachable),
    )
    peer_updates.send_stall(gw, report)


def handle_stall_report(gw: states.Gateway, head_id: str, key: replica_group.Key) -> None:
    """Handle another entry's report that members of a group are unreachable.

    This entry's own view takes precedence: a head that recently sent an event here is not stalled.
    """
    head_requests = gw.heads.get(head_id)
    if head_requests is None or head_requests.group_key != key:
        gw.suspect(head_id, REPORTED_SUSPECT_SECONDS)
        return
    silent_seconds = head_watch.silent_seconds(head_requests.activity, trio.current_time())
    if head_requests.activity.is_stalled:
        _suspect(gw, head_id, head_requests)
    elif silent_seconds >= REPORTED_STALL_PASSES * head_requests.activity.pass_seconds:
        _hedge_streams(gw, head_id, head_requests, ())
    elif not head_requests.attempts:
        gw.suspect(head_id, REPORTED_SUSPECT_SECONDS)


def _hedge_streams(
    gw: states.Gateway,
    head_id: str,
    head_requests: states.HeadRequests,
    unreachable: tuple[str, ...],
) -> None:
    """Let other groups be tried for the streams of a silent head, which may still go on."""
    head_requests.activity.is_stalled = True
    events.log(
        "head.still",
        head=head_id,
        group=head_requests.group_key.name,
        epoch=head_requests.group_key.epoch,
        silent=",".join(unreachable),
        writers=len(head_requests.activity.streaming),
        waiting=len(head_requests.activity.pending),
        last_event_age=round(trio.current_time() - head_requests.activity.last_event_at, 3),
    )
    gw.metrics.stalls.inc({})
    _suspect(gw, head_id, head_requests)
    for attempt in head_requests.attempts.values():
        attempt.note_silence()


def _suspect(gw: states.Gateway, head_id: str, head_requests: states.HeadRequests) -> None:
    """Avoid a head while it is silent."""
    head_requests.suspected_until = trio.current_time() + SUSPECT_SECONDS
    gw.suspect_until(head_id, head_requests.suspected_until)


def record_event(
    gw: states.Gateway,
    group: replica_group.Group,
    head_requests: states.HeadRequests,
    request_id: str,
    now: float,
) -> None:
    """Record that a head has sent an event, which may end a silence."""
    silent_seconds = head_watch.record_event(head_requests.activity, request_id, now)
    if silent_seconds is None or group.head is None:
        return
    if gw.suspects.get(group.head.id) == head_requests.suspected_until:
        del gw.suspects[group.head.id]
    for attempt in head_requests.attempts.values():
        attempt.is_silent = False
    events.log(
        "head.resumed",
        head=group.head.id,
        group=group.key.name,
        epoch=group.key.epoch,
        silent_seconds=round(silent_seconds, 3),
    )


def _find_service(gw: states.Gateway, head_id: str) -> str:
    head = gw.registry.targets.get(head_id)
    return head.service if head is not None else ""


def track_head(
    gw: states.Gateway, group: replica_group.Group, constants: engine.Engine
) -> states.HeadRequests | None:
    """Return this entry's requests at a group's head, and start to track the head if it is new.

    :returns: ``None`` if the head is not listed or the model not declared.
    """
    head = group.head
    model = constants.find_model(group.model)
    if head is None or model is None:
        return None
    head_requests = gw.heads.get(head.id)
    if head_requests is None or head_requests.group_key != group.key:
        pass_seconds = constants.pass_seconds(model, constants.slots // 2)
        head_requests = gw.heads[head.id] = states.HeadRequests(
            group.key, head_watch.Activity(pass_seconds)
        )
    return head_requests
