"""Checks which members of a group accept connections."""

from __future__ import annotations

import functools
from collections import abc

import trio

from galenavane.fleet import target
from galenavane.gateway import state as states
from galenavane.net import transport_error

CONNECT_TIMEOUT_SECONDS = 0.07
"""Opening a connection within a region takes a few milliseconds."""
ATTEMPTS = 2
"""Attempts per member, so that one lost packet doesn't make it count as unreachable."""
MAX_LOOP_LAG_SECONDS = 0.05
"""If the event loop itself runs later than this, a timeout proves nothing."""


async def find_unreachable(
    gw: states.Gateway, members: abc.Sequence[target.Target], attempts: int = ATTEMPTS
) -> tuple[str, ...]:
    """Return the sorted ids of the members that no connection could be opened to."""
    unreachable: list[str] = []
    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(functools.partial(_check, gw, member, attempts, unreachable))
    return tuple(sorted(unreachable))


async def _check(
    gw: states.Gateway, member: target.Target, attempts: int, unreachable: list[str]
) -> None:
    for _ in range(attempts):
        started_at = trio.current_time()
        try:
            conn = await gw.net.dial(member.address, CONNECT_TIMEOUT_SECONDS)
        except transport_error.TransportError:
            if trio.current_time() - started_at > CONNECT_TIMEOUT_SECONDS + MAX_LOOP_LAG_SECONDS:
                return
            continue
        await conn.close()
        return
    unreachable.append(member.id)
