"""Watches the heads that this entry relays streams from."""

from __future__ import annotations

import trio

from galenavane.catalog import engine
from galenavane.fleet import replica_group
from galenavane.gateway import member_check, peer_message, peer_updates
from galenavane.gateway import state as states
from galenavane.observe import events
from galenavane.route import head_watch

TICK_SECONDS = 0.02
MAX_LOOP_LAG_SECONDS = 0.1
"""When the loop was this late, events may wait unread, so silence proves nothing."""
REPORTED_SUSPECT_SECONDS = 0.5
"""Until the holder of the lease has decided about a group that another entry found still."""
REPORTED_STALL_PASSES = 1.3
"""Silence here, in passes, that agrees with what another entry tells."""
SUSPECT_SECONDS = 2.0
"""Longer than a group needs to be formed again under a new name."""


async def run(gw: states.Gateway) -> None:
    """Judge every head in use regularly."""
    async with trio.open_nursery() as nursery:
        while True:
            before = trio.current_time()
            await trio.sleep(TICK_SECONDS)
            now = trio.current_time()
            if now - before > TICK_SECONDS + MAX_LOOP_LAG_SECONDS:
                _reset_silences(gw, now)
                continue
            for head, one in list(gw.heads.items()):
                _check_activity(gw, head, one, now, nursery)


def _reset_silences(gw: states.Gateway, now: float) -> None:
    """Start all silences anew, after the loop stood still."""
    for one in gw.heads.values():
        one.activity.last_event_at = max(one.activity.last_event_at, now)


def _check_activity(
    gw: states.Gateway, head: str, one: states.HeadRequests, now: float, nursery: trio.Nursery
) -> None:
    verdict = head_watch.judge(one.activity, now)
    if verdict is head_watch.Verdict.STILL:
        if one.activity.writers:
            _report_stall(gw, head, one, ())
        else:
            # A full head lets requests wait too, so that alone says nothing about its group.
            _move_streams(gw, head, one, ())
    elif verdict is head_watch.Verdict.CHECK and not one.is_checking:
        one.is_checking = True
        one.activity.checked_at = now
        nursery.start_soon(_check_members, gw, head, one)


async def _check_members(gw: states.Gateway, head: str, one: states.HeadRequests) -> None:
    began_at = trio.current_time()
    found = _find_group(gw, one)
    silent = await member_check.find_unreachable(gw, found.members) if found is not None else ()
    one.is_checking = False
    is_answered = one.activity.last_event_at > began_at
    if silent and not is_answered and gw.heads.get(head) is one:
        _report_stall(gw, head, one, silent)


def _find_group(gw: states.Gateway, one: states.HeadRequests) -> replica_group.Group | None:
    catalog = gw.config_state.catalog
    for service in catalog.engine_services() if catalog is not None else ():
        if service.engine is None:
            continue
        found = gw.find_groups(service.name, service.engine).get(one.group_key)
        if found is not None:
            return found
    return None


def _report_stall(
    gw: states.Gateway, head: str, one: states.HeadRequests, silent: tuple[str, ...]
) -> None:
    """Move the streams of a head that stands still, and tell the others."""
    _move_streams(gw, head, one, silent)
    service = _find_service(gw, head)
    gw.pending_stalls.append((service, one.group_key, silent))
    gw.wake_control()
    told = peer_message.StallReport(
        gw.name, service, head, one.group_key.name, one.group_key.epoch, list(silent)
    )
    gw.record_stall(one.group_key)
    peer_updates.send_stall(gw, told)


def handle_stall_report(gw: states.Gateway, head: str, key: replica_group.Key) -> None:
    """Take in that another entry found members of a group silent.

    What this entry sees goes first: a head that lately sent an event here is not still.
    """
    one = gw.heads.get(head)
    if one is None or one.group_key != key:
        gw.suspect(head, REPORTED_SUSPECT_SECONDS)
        return
    silent = head_watch.silence(one.activity, trio.current_time())
    if silent >= REPORTED_STALL_PASSES * one.activity.pass_seconds:
        _move_streams(gw, head, one, ())
    elif not one.reads:
        gw.suspect(head, REPORTED_SUSPECT_SECONDS)


def _move_streams(
    gw: states.Gateway, head: str, one: states.HeadRequests, silent: tuple[str, ...]
) -> None:
    events.log(
        "head.still",
        head=head,
        group=one.group_key.name,
        epoch=one.group_key.epoch,
        silent=",".join(silent),
        writers=len(one.activity.writers),
        waiting=len(one.activity.waiting),
        last_event_age=round(trio.current_time() - one.activity.last_event_at, 3),
    )
    gw.metrics.stalls.inc({})
    gw.suspect(head, SUSPECT_SECONDS)
    del gw.heads[head]
    for read in list(one.reads.values()):
        read.cancel()


def _find_service(gw: states.Gateway, head: str) -> str:
    listed = gw.registry.targets.get(head)
    return listed.service if listed is not None else ""


def track_head(
    gw: states.Gateway, found: replica_group.Group, constants: engine.Engine
) -> states.HeadRequests | None:
    """Return the record of a group's head, made when there is none."""
    head = found.head
    model = constants.find_model(found.model)
    if head is None or model is None:
        return None
    kept = gw.heads.get(head.id)
    if kept is None or kept.group_key != found.key:
        beat = constants.pass_seconds(model, constants.slots // 2)
        kept = gw.heads[head.id] = states.HeadRequests(found.key, head_watch.Activity(beat))
    return kept
