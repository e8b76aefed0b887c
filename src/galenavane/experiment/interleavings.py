"""Checks the lease, table and command logic under every interleaving of a few steps.

Entries, a platform and two targets take steps in any order. A step is a lease call, a control
step, the delayed effect of a write, the delivery of a command, or the passing of time. An entry
that takes no step while time passes is a paused one.

``python -m galenavane.experiment.interleavings 7``
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
TOKEN_CHECK_CASES = ((True, False), (True, True), (False, False))


@dataclasses.dataclass(slots=True)
class Result:
    """What an exploration visited.

    :ivar state_count: number of different states, counted separately at each depth.
    :ivar interleaving_count: number of different sequences of steps of the full depth.
    """

    state_count: int
    interleaving_count: int


def explore(initial: system_state.SystemState, depth: int) -> Result:
    """Visit every interleaving of ``depth`` steps, merging states that behave alike.

    :raises invariant.ViolationError: when a step violates an invariant.
    """
    frontier: dict[abc.Hashable, tuple[system_state.SystemState, int]] = {}
    frontier[system_state_key.compute_key(initial)] = (initial, 1)
    state_count = 1
    for _ in range(depth):
        next_frontier: dict[abc.Hashable, tuple[system_state.SystemState, int]] = {}
        for system, count in frontier.values():
            for step in system_steps.generate_steps(system):
                next_system = system_steps.apply_step(system, step)
                key = system_state_key.compute_key(next_system)
                merged = next_frontier.get(key)
                next_frontier[key] = (next_system, count + (merged[1] if merged else 0))
        frontier = next_frontier
        state_count += len(frontier)
    return Result(state_count, sum(count for _, count in frontier.values()))


def main() -> None:
    """Print the number of interleavings by entry count, initial state and targets."""
    depth = int(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_DEPTH
    for entry_count, step_count in ((2, depth), (3, depth - 1)):
        for name, make_initial in initial_system_states.INITIAL_STATES.items():
            for checks_tokens in TOKEN_CHECK_CASES:
                started_at = time.process_time()
                result = explore(make_initial(checks_tokens, entry_count), step_count)
                seconds = time.process_time() - started_at
                check_names = " and ".join(
                    "checks" if checks_token else "ignores" for checks_token in checks_tokens
                )
                print(
                    f"{entry_count} entries, {name} at first, targets {check_names}, "
                    f"{step_count} steps: {result.interleaving_count} interleavings, "
                    f"{result.state_count} states, all hold ({seconds:.0f} s)",
                    flush=True,
                )


if __name__ == "__main__":
    main()
