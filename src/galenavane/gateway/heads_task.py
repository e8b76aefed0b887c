"""Watches the heads that this entry relays streams from."""

from __future__ import annotations

import trio

from galenavane.catalog import engine
from galenavane.fleet import replica_group
from galenavane.gateway import member_check, peer_message, peers_telling
from galenavane.gateway import state as states
from galenavane.observe import events
from galenavane.route import head_watch

TICK_SECONDS = 0.02
LAG_SECONDS = 0.1
"""When the loop was this late, events may wait unread, so silence proves nothing."""
TOLD_SECONDS = 0.5
"""Until the holder of the lease has decided about a group that another entry found still."""
BEATS_TOLD = 1.3
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
            if now - before > TICK_SECONDS + LAG_SECONDS:
                _forgive(gw, now)
                continue
            for head, one in list(gw.heads.items()):
                _judge(gw, head, one, now, nursery)


def _forgive(gw: states.Gateway, now: float) -> None:
    """Start all silences anew, after the loop stood still."""
    for one in gw.heads.values():
        one.activity.last_event_at = max(one.activity.last_event_at, now)


def _judge(
    gw: states.Gateway, head: str, one: states.Head, now: float, nursery: trio.Nursery
) -> None:
    verdict = head_watch.judge(one.activity, now)
    if verdict is head_watch.Verdict.STILL:
        if one.activity.writers:
            _declare(gw, head, one, ())
        else:
            # A full head lets requests wait too, so that alone says nothing about its group.
            _move(gw, head, one, ())
    elif verdict is head_watch.Verdict.CHECK and not one.is_checked:
        one.is_checked = True
        one.activity.checked_at = now
        nursery.start_soon(_check, gw, head, one)


async def _check(gw: states.Gateway, head: str, one: states.Head) -> None:
    began_at = trio.current_time()
    found = _find_group(gw, one)
    silent = await member_check.find_silent(gw, found.members) if found is not None else ()
    one.is_checked = False
    is_answered = one.activity.last_event_at > began_at
    if silent and not is_answered and gw.heads.get(head) is one:
        _declare(gw, head, one, silent)


def _find_group(gw: states.Gateway, one: states.Head) -> replica_group.Group | None:
    catalog = gw.config_state.catalog
    for service in catalog.engine_services() if catalog is not None else ():
        if service.engine is None:
            continue
        found = gw.groups(service.name, service.engine).get(one.key)
        if found is not None:
            return found
    return None


def _declare(gw: states.Gateway, head: str, one: states.Head, silent: tuple[str, ...]) -> None:
    """Move the streams of a head that stands still, and tell the others."""
    _move(gw, head, one, silent)
    service = _service_of(gw, head)
    gw.pending_stalls.append((service, one.key, silent))
    gw.wake_control()
    told = peer_message.Stall(gw.name, service, head, one.key.name, one.key.epoch, list(silent))
    gw.note_told_stall(one.key)
    peers_telling.tell_stall(gw, told)


def hear_still(gw: states.Gateway, head: str, key: replica_group.Key) -> None:
    """Take in that another entry found members of a group silent.

    What this entry sees goes first: a head that lately sent an event here is not still.
    """
    one = gw.heads.get(head)
    if one is None or one.key != key:
        gw.suspect(head, TOLD_SECONDS)
        return
    silent = head_watch.silence(one.activity, trio.current_time())
    if silent >= BEATS_TOLD * one.activity.pass_seconds:
        _move(gw, head, one, ())
    elif not one.reads:
        gw.suspect(head, TOLD_SECONDS)


def _move(gw: states.Gateway, head: str, one: states.Head, silent: tuple[str, ...]) -> None:
    events.log(
        "head.still",
        head=head,
        group=one.key.name,
        epoch=one.key.epoch,
        silent=",".join(silent),
        writers=len(one.activity.writers),
        waiting=len(one.activity.waiting),
        last_event_age=round(trio.current_time() - one.activity.last_event_at, 3),
    )
    gw.metrics.stalls.inc({})
    gw.suspect(head, SUSPECT_SECONDS)
    del gw.heads[head]
    for read in list(one.reads.values()):
        read.stop()


def _service_of(gw: states.Gateway, head: str) -> str:
    listed = gw.registry.targets.get(head)
    return listed.service if listed is not None else ""


def use(
    gw: states.Gateway, found: replica_group.Group, constants: engine.Engine
) -> states.Head | None:
    """Return the record of a group's head, made when there is none."""
    head = found.head
    model = constants.find_model(found.model)
    if head is None or model is None:
        return None
    kept = gw.heads.get(head.id)
    if kept is None or kept.key != found.key:
        beat = constants.pass_seconds(model, constants.slots // 2)
        kept = gw.heads[head.id] = states.Head(found.key, head_watch.Activity(beat))
    return kept
