"""Asks whether this entry may send to targets, and keeps what they say about that."""

from __future__ import annotations

import math
from collections import abc

import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.fleet import target, target_registry
from galenavane.gateway import peer_updates
from galenavane.gateway import state as states
from galenavane.observe import events
from galenavane.route import target_permit
from galenavane.serve import target_response

WAIT_SHARE = 1 / 3
"""Share of a request's remaining time that it waits for a target that asked to be left alone; a
caller that is refused for longer can use its time better elsewhere."""
SPREAD_SECONDS = 0.05
"""Over which the requests that waited for a target are sent to it."""


def check(gw: states.Gateway, destination: target.Target) -> target_permit.Permit:
    """Return whether this entry may send requests to a target now."""
    return target_permit.decide(
        destination,
        gw.registry,
        gw.waits,
        gw.suspects.get(destination.id, 0.0),
        destination.id in gw.accept_pauses,
        trio.current_time(),
    )


def record_notice(
    gw: states.Gateway, destination: target.Target, notice: target_response.Notice
) -> None:
    """Record what a target's answer says about further requests."""
    if notice.is_leaving:
        record_leaving(gw, destination.id, destination.incarnation)
    if notice.wait_seconds > 0:
        now = trio.current_time()
        target_permit.record_wait(
            gw.waits, destination.id, destination.incarnation, notice.wait_seconds, now
        )
        events.log("target.asks_to_wait", target=destination.id, seconds=notice.wait_seconds)
        gw.metrics.notices.inc({"reason": target_permit.Reason.ASKED_TO_WAIT.value})


def record_leaving(gw: states.Gateway, target_id: str, incarnation: int) -> None:
    """Record that a target has said that it leaves, and tell the other entries once."""
    if not target_registry.mark_leaving(gw.registry, target_id, incarnation):
        return
    events.log("target.says_it_leaves", target=target_id, started_ms=incarnation)
    gw.metrics.notices.inc({"reason": target_permit.Reason.LEAVING.value})
    gw.wake_control()
    peer_updates.send_leaving(gw, target_id, incarnation)


def find_wait_end(found: abc.Iterable[target_permit.Permit]) -> float:
    """Return when the first of the targets that asked to be left alone may be sent requests."""
    asked = target_permit.Reason.ASKED_TO_WAIT
    return min((permit.until for permit in found if permit.reason is asked), default=math.inf)


async def wait(gw: states.Gateway, until: float, deadline: float) -> bool:
    """Wait until a target may be sent requests, if that is best for the caller.

    :param until: when that is, on trio's clock; infinite if no target asked to be left alone.
    :param deadline: when the request's response is due.
    :returns: whether it was waited.
    """
    now = trio.current_time()
    if until - now > WAIT_SHARE * (deadline - now):
        return False
    await trio.sleep_until(until + SPREAD_SECONDS * gw.rng.random())
    return True


def make_wait_failure(until: float) -> failure.Failure:
    """Return the refusal of a request for whose service no target is free in time."""
    return failure.Failure(
        codes.Code.QUEUE_FULL,
        "all targets that serve it asked to be left alone",
        retry_after_seconds=max(SPREAD_SECONDS, until - trio.current_time()),
    )
