"""Worlds from which an exploration starts."""

from __future__ import annotations

from galenavane.experiment import interleaved_steps
from galenavane.experiment import interleaved_world as worlds


def make_held(kinds: tuple[bool, bool], entries: int) -> worlds.World:
    """Return a world in which the first entry holds the lease and its joins are in flight."""
    return _start(kinds, entries, worlds.Fate.DONE)


def make_unwritten(kinds: tuple[bool, bool], entries: int) -> worlds.World:
    """Return the same, but the holder's table has not reached the platform."""
    return _start(kinds, entries, worlds.Fate.LATE)


def make_succeeded(kinds: tuple[bool, bool], entries: int) -> worlds.World:
    """Return the first after the second entry took the lapsed lease; the first was paused."""
    return _succeed(make_held(kinds, entries))


def make_succeeded_unwritten(kinds: tuple[bool, bool], entries: int) -> worlds.World:
    """Return the same for a first holder whose table has not reached the platform."""
    return _succeed(make_unwritten(kinds, entries))


def _succeed(world: worlds.World) -> worlds.World:
    tick = worlds.Step(worlds.Kind.TICK)
    for step in (tick, tick, worlds.Step(worlds.Kind.LEASE, 1)):
        world = interleaved_steps.take(world, step)
    return world


def _start(kinds: tuple[bool, bool], entries: int, fate: worlds.Fate) -> worlds.World:
    world = worlds.make(kinds, entries)
    call = worlds.Step(worlds.Kind.LEASE)
    for step in (call, call, worlds.Step(worlds.Kind.CONTROL, 0, fate)):
        world = interleaved_steps.take(world, step)
    for number in range(1, entries):
        world = interleaved_steps.take(world, worlds.Step(worlds.Kind.LEASE, number))
    return world


ALL = {
    "no holder": worlds.make,
    "a holder": make_held,
    "a holder whose table is not written": make_unwritten,
    "a paused holder and its successor": make_succeeded,
    "a paused holder without a written table, and its successor": make_succeeded_unwritten,
}
