"""Runs the decisions of lease, table and commands through every interleaving of a small bound.

Entries, a platform and two targets take steps in any order. A step is a lease call, a control
step, the late effect of a call or command, or the passing of time; an entry that takes no step
while time passes is a paused one.
"""

from __future__ import annotations

import dataclasses
import sys
import time
from collections import abc

from galenavane.experiment import (
    initial_system_states,
    system_state,
    system_state_key,
    system_steps,
)

DEFAULT_DEPTH = 7
KINDS = ((True, False), (True, True), (False, False))


@dataclasses.dataclass(slots=True)
class Result:
    """What a run has visited.

    :ivar states: different states.
    :ivar interleavings: different sequences of steps of the full depth.
    """

    states: int
    interleavings: int


def explore(start: system_state.World, depth: int) -> Result:
    """Visit every interleaving of so many steps.

    :raises invariant.ViolationError: with what broke.
    """
    level: dict[abc.Hashable, tuple[system_state.World, int]] = {}
    level[system_state_key.key(start)] = (start, 1)
    states = 1
    for _ in range(depth):
        following: dict[abc.Hashable, tuple[system_state.World, int]] = {}
        for world, count in level.values():
            for step in system_steps.steps(world):
                after = system_steps.take(world, step)
                found = system_state_key.key(after)
                known = following.get(found)
                following[found] = (after, count + (known[1] if known else 0))
        level = following
        states += len(level)
    return Result(states, sum(count for _, count in level.values()))


def main() -> None:
    """Print the number of interleavings by entries, start and kind of targets."""
    depth = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_DEPTH
    for entries, count in ((2, depth), (3, depth - 1)):
        for name, make in initial_system_states.ALL.items():
            for kinds in KINDS:
                started = time.process_time()
                found = explore(make(kinds, entries), count)
                seconds = time.process_time() - started
                checks = " and ".join("checks" if one else "ignores" for one in kinds)
                print(
                    f"{entries} entries, {name} at first, targets {checks}, {count} steps: "
                    f"{found.interleavings} interleavings, {found.states} states, "
                    f"all hold ({seconds:.0f} s)",
                    flush=True,
                )


if __name__ == "__main__":
    main()
