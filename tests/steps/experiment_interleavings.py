"""Steps that explore interleavings."""

from __future__ import annotations

from unittest import mock

import msgspec
from behave import then

from galenavane import invariant
from galenavane.control import fence, table
from galenavane.experiment import initial_system_states, interleavings
from galenavane.store import lease


@then("every interleaving of {steps:d} steps with {entries:d} entries holds")
def explore_all(context, steps, entries):
    total = 0
    for make in initial_system_states.ALL.values():
        for kinds in interleavings.KINDS:
            total += interleavings.explore(make(kinds, entries), steps).interleavings
    assert total > 1000, total


def _take_over_without_epoch(found, token):
    return msgspec.structs.replace(found, token=token, serial=0)


WRONG = {
    "a successor that does not wait": (
        mock.patch.object(lease, "SUCCESSOR_WAIT_SECONDS", 0.0),
        initial_system_states.make_held,
        (True, False),
    ),
    "epochs without the token": (
        mock.patch.object(table, "take_over", _take_over_without_epoch),
        initial_system_states.make_succeeded_unwritten,
        (True, True),
    ),
    "commands after the lease": (
        mock.patch.object(fence, "may_send", lambda *_: True),
        initial_system_states.make_succeeded,
        (True, False),
    ),
}


@then("the interleavings of {steps:d} steps catch {wrong}")
def explore_wrong(context, steps, wrong):
    patch, make, kinds = WRONG[wrong]
    with patch:
        try:
            interleavings.explore(make(kinds, 2), steps)
        except invariant.ViolationError:
            return
    raise AssertionError("no invariant broke")
