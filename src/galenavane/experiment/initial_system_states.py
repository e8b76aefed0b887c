"""Worlds from which an exploration starts."""

from __future__ import annotations

from galenavane.experiment import system_state, system_steps


def make_held(kinds: tuple[bool, bool], entries: int) -> system_state.World:
    """Return a world in which the first entry holds the lease and its joins are in flight."""
    return _start(kinds, entries, system_state.Fate.DONE)


def make_unwritten(kinds: tuple[bool, bool], entries: int) -> system_state.World:
    """Return the same, but the holder's table has not reached the platform."""
    return _start(kinds, entries, system_state.Fate.LATE)


def make_succeeded(kinds: tuple[bool, bool], entries: int) -> system_state.World:
    """Return the first after the second entry took the lapsed lease; the first was paused."""
    return _succeed(make_held(kinds, entries))


def make_succeeded_unwritten(kinds: tuple[bool, bool], entries: int) -> system_state.World:
    """Return the same for a first holder whose table has not reached the platform."""
    return _succeed(make_unwritten(kinds, entries))


def _succeed(world: system_state.World) -> system_state.World:
    tick = system_state.Step(system_state.Kind.TICK)
    for step in (tick, tick, system_state.Step(system_state.Kind.LEASE, 1)):
        world = system_steps.take(world, step)
    return world


def _start(kinds: tuple[bool, bool], entries: int, fate: system_state.Fate) -> system_state.World:
    world = system_state.make(kinds, entries)
    call = system_state.Step(system_state.Kind.LEASE)
    for step in (call, call, system_state.Step(system_state.Kind.CONTROL, 0, fate)):
        world = system_steps.take(world, step)
    for number in range(1, entries):
        world = system_steps.take(world, system_state.Step(system_state.Kind.LEASE, number))
    return world


ALL = {
    "no holder": system_state.make,
    "a holder": make_held,
    "a holder whose table is not written": make_unwritten,
    "a paused holder and its successor": make_succeeded,
    "a paused holder without a written table, and its successor": make_succeeded_unwritten,
}
