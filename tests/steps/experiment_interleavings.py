"""Steps that explore interleavings."""

from __future__ import annotations

from unittest import mock

import msgspec
from behave import then

from galenavane import invariant
from galenavane.control import fence, table
from galenavane.experiment import initial_system_states, interleavings
from galenavane.store import lease


@then(
    "every interleaving of {step_count:d} steps with {entry_count:d} entries keeps the invariants"
)
def explore_all(context, step_count, entry_count):
    total = 0
    for make_initial in initial_system_states.INITIAL_STATES.values():
        for checks_tokens in interleavings.TOKEN_CHECK_CASES:
            total += interleavings.explore(
                make_initial(checks_tokens, entry_count), step_count
            ).interleaving_count
    assert total > 1000, total


def _take_over_without_epoch(current, token):
    return msgspec.structs.replace(current, token=token, serial=0)


MUTANTS = {
    "a successor that does not wait": (
        mock.patch.object(lease, "SUCCESSOR_WAIT_SECONDS", 0.0),
        initial_system_states.make_holder,
        (True, False),
    ),
    "epochs without the token": (
        mock.patch.object(table, "take_over", _take_over_without_epoch),
        initial_system_states.make_successor_without_table,
        (True, True),
    ),
    "commands after lease expiry": (
        mock.patch.object(fence, "may_send", lambda *_: True),
        initial_system_states.make_successor,
        (True, False),
    ),
}


@then("exploring {step_count:d} steps detects {mutant}")
def explore_mutant(context, step_count, mutant):
    patch, make_initial, checks_tokens = MUTANTS[mutant]
    with patch:
        try:
            interleavings.explore(make_initial(checks_tokens, 2), step_count)
        except invariant.ViolationError:
            return
    raise AssertionError("the exploration found no violated invariant")
