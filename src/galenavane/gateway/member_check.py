"""Checks which members of a group accept connections."""

from __future__ import annotations

import functools
from collections import abc

import msgspec
import trio

from galenavane.fleet import target
from galenavane.gateway import state as states
from galenavane.net import transport_error

CONNECT_TIMEOUT_SECONDS = 0.07
"""Opening a connection within a region takes a few milliseconds."""
END_SECONDS = 0.05
"""All connections of a process that is killed end within some milliseconds."""
ATTEMPTS = 2
"""Attempts per member, so that one lost packet doesn't make it count as unreachable."""
MAX_LOOP_LAG_SECONDS = 0.05
"""If the event loop itself runs later than this, a timeout proves nothing."""


class Unreachable(msgspec.Struct, frozen=True):
    """Sorted ids of the targets that accepted no connection.

    :ivar refusing: those whose hosts refuse connections: no process listens there.
    :ivar silent: those that did not answer; they may be lost, or pause.
    """

    refusing: tuple[str, ...]
    silent: tuple[str, ...]

    @property
    def all(self) -> tuple[str, ...]:
        """The ids of both kinds."""
        return tuple(sorted((*self.refusing, *self.silent)))


async def find_unreachable(
    gw: states.Gateway, members: abc.Iterable[target.Target], attempts: int = ATTEMPTS
) -> Unreachable:
    """Return the members that no connection could be opened to."""
    refusing: list[str] = []
    silent: list[str] = []
    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(functools.partial(_check, gw, member, attempts, refusing, silent))
    return Unreachable(tuple(sorted(refusing)), tuple(sorted(silent)))


async def has_stopped(gw: states.Gateway, answerer: target.Target) -> bool:
    """Whether a target's process has ended, whose connection has just done so.

    The parts of a process end one after the other, so a new connection may still be accepted by
    one that is ending. It ends in turn then, within ``END_SECONDS``.
    """
    try:
        conn = await gw.net.dial(answerer.address, CONNECT_TIMEOUT_SECONDS)
    except transport_error.TransportError:
        return bool((await find_unreachable(gw, (answerer,))).all)
    has_ended = False
    try:
        with trio.move_on_after(END_SECONDS):
            has_ended = not await conn.receive()
    except transport_error.TransportError:
        has_ended = True
    finally:
        await conn.close()
    # A target that has too many connections ends new ones too, but goes on to accept them.
    return has_ended and bool((await find_unreachable(gw, (answerer,))).all)


async def _check(
    gw: states.Gateway, member: target.Target, attempts: int, refusing: list[str], silent: list[str]
) -> None:
    is_refused = False
    for _ in range(attempts):
        started_at = trio.current_time()
        try:
            conn = await gw.net.dial(member.address, CONNECT_TIMEOUT_SECONDS)
        except transport_error.TransportError as exc:
            if trio.current_time() - started_at > CONNECT_TIMEOUT_SECONDS + MAX_LOOP_LAG_SECONDS:
                return
            is_refused = exc.is_refused
            continue
        await conn.close()
        return
    (refusing if is_refused else silent).append(member.id)
