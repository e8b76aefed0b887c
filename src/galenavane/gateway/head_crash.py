"""Finds out whether a head whose connection ended has crashed, and which requests waited there."""

from __future__ import annotations

import trio

from galenavane.fleet import replica_group, target
from galenavane.gateway import member_check, peer_message, peer_updates, prompt_blocks
from galenavane.gateway import state as states
from galenavane.observe import events

SUSPECT_SECONDS = 2.0
"""How long a crashed head is avoided: longer than re-forming its group under a new name takes."""
END_SECONDS = 0.05
"""Within which all connections of a crashed head end; they do so within some milliseconds."""
MAX_LOG_CHARACTERS = 2_000


async def check(
    gw: states.Gateway,
    group: replica_group.Group,
    head: target.Target,
    head_requests: states.HeadRequests,
    request_id: str,
) -> bool:
    """Check a head whose connection ended, once for all connections that end together.

    A head that has crashed refuses connections, and all of its connections end. One that lost a
    single answer accepts new ones, and one that has too many refuses new ones only.

    :param request_id: the request whose connection ended.
    :returns: whether the head has crashed.
    """
    head_requests.ended.add(request_id)
    crash_check = head_requests.crash_check
    if crash_check is not None:
        await crash_check.wait()
        return head_requests.has_crashed
    head_requests.crash_check = trio.Event()
    waiting = dict(head_requests.waiting)
    in_progress = set(head_requests.attempts)
    crashed_at = trio.current_time()
    # The client of this request may leave meanwhile, but the check is made for the others too.
    with trio.CancelScope(shield=True):
        unreachable = await member_check.find_unreachable(gw, (head,))
        has_crashed = bool(unreachable.all) and await _have_all_ended(head_requests, in_progress)
    head_requests.has_crashed = has_crashed
    head_requests.crash_check.set()
    head_requests.crash_check = None
    if has_crashed:
        _handle_crash(gw, group, head, waiting, len(in_progress) - len(waiting), crashed_at)
    return has_crashed


async def _have_all_ended(head_requests: states.HeadRequests, request_ids: set[str]) -> bool:
    """Whether the connections of all these requests end within a moment."""
    with trio.move_on_after(END_SECONDS):
        while request_ids & head_requests.attempts.keys() - head_requests.ended:
            await trio.sleep(END_SECONDS / 10)
    return not request_ids & head_requests.attempts.keys() - head_requests.ended


def _handle_crash(
    gw: states.Gateway,
    group: replica_group.Group,
    head: target.Target,
    waiting: dict[str, states.WaitingRequest],
    started: int,
    crashed_at: float,
) -> None:
    gw.suspect(head.id, SUSPECT_SECONDS)
    events.log(
        "head.crashed",
        head=head.id,
        group=group.key.name,
        epoch=group.key.epoch,
        started=started,
        waiting=_describe(waiting, crashed_at),
    )
    prompt_blocks.report_crash(gw, group.key, waiting.values(), crashed_at)
    _report_lost_group(gw, group.key, head)


def _report_lost_group(gw: states.Gateway, key: replica_group.Key, head: target.Target) -> None:
    """Report a group as stalled, so that it is formed again before the platform misses its head."""
    gw.pending_stalls.append((head.service, key, (head.id,)))
    gw.wake_control()
    if gw.record_stall(key):
        report = peer_message.StallReport(
            gw.name, head.service, head.id, key.name, key.epoch, [head.id]
        )
        peer_updates.send_stall(gw, report)


def _describe(waiting: dict[str, states.WaitingRequest], now: float) -> str:
    """Return ids, waiting times, prompt sizes and prompt parts of requests as text."""
    text = " ".join(
        f"{request_id}:{now - request.sent_at:.3f}s:{request.prompt_tokens}"
        f":{'+'.join(request.parts)}"
        for request_id, request in waiting.items()
    )
    return text[:MAX_LOG_CHARACTERS]
