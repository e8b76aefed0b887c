"""Builds the system states from which explorations start."""

from __future__ import annotations

from galenavane.experiment import system_state, system_steps


def make_holder(checks_tokens: tuple[bool, bool], entry_count: int) -> system_state.SystemState:
    """Return a state in which the first entry holds the lease and has sent join commands."""
    return _start_holder(checks_tokens, entry_count, system_state.CallOutcome.ANSWERED)


def make_holder_without_table(
    checks_tokens: tuple[bool, bool], entry_count: int
) -> system_state.SystemState:
    """Return the same state, except that the platform has not received the holder's table."""
    return _start_holder(checks_tokens, entry_count, system_state.CallOutcome.DELAYED)


def make_successor(checks_tokens: tuple[bool, bool], entry_count: int) -> system_state.SystemState:
    """Return a state in which the first entry was paused and the second took the expired lease."""
    return _add_successor(make_holder(checks_tokens, entry_count))


def make_successor_without_table(
    checks_tokens: tuple[bool, bool], entry_count: int
) -> system_state.SystemState:
    """Return the same state, except that the platform has not received the first holder's table."""
    return _add_successor(make_holder_without_table(checks_tokens, entry_count))


def _add_successor(system: system_state.SystemState) -> system_state.SystemState:
    tick = system_state.Step(system_state.StepKind.TICK)
    for step in (tick, tick, system_state.Step(system_state.StepKind.LEASE, 1)):
        system = system_steps.apply_step(system, step)
    return system


def _start_holder(
    checks_tokens: tuple[bool, bool], entry_count: int, outcome: system_state.CallOutcome
) -> system_state.SystemState:
    system = system_state.make_initial(checks_tokens, entry_count)
    lease_step = system_state.Step(system_state.StepKind.LEASE)
    for step in (
        lease_step,
        lease_step,
        system_state.Step(system_state.StepKind.CONTROL, 0, outcome),
    ):
        system = system_steps.apply_step(system, step)
    for number in range(1, entry_count):
        system = system_steps.apply_step(
            system, system_state.Step(system_state.StepKind.LEASE, number)
        )
    return system


INITIAL_STATES = {
    "no holder": system_state.make_initial,
    "a holder": make_holder,
    "a holder whose table is not written": make_holder_without_table,
    "a paused holder and its successor": make_successor,
    "a paused holder without a written table, and its successor": make_successor_without_table,
}
