"""Steps that run seeds of the soak."""

from __future__ import annotations

from behave import then

from galenavane import invariant
from galenavane.soak import fault_types, mutants, render, run, topology


@then("two soak runs of seed {seed:d} have the same events")
def repeat(context, seed):
    one, two = (run.run(seed, None, topology.TINY) for _ in range(2))
    for first, second in zip(one.events, two.events, strict=True):
        assert first == second, (first, second)
    assert one.digest == two.digest


@then("the soak seeds {seeds} break no invariant")
def hold(context, seeds):
    for seed in seeds.split(","):
        found = run.run(int(seed), None, topology.TINY)
        assert not found.violations, render.render(found)
        assert not any(topology.API_KEY in str(event.fields) for event in found.events)


@then('the soak catches "{name}" in a race of two operators')
def catch(context, name):
    found = next(one for one in mutants.ALL if one.name == name)
    race = fault_types.Fault(1.0, fault_types.Kind.OPERATOR_RACE, 1.0, ["renewed", "ordinary"])
    with mutants.applied(found):
        seen = run.run(1, [race], topology.TINY)
    assert invariant.Number.CONFIGURATION in seen.violated_numbers, seen.violations
