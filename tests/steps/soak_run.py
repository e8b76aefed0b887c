"""Steps that run soak seeds."""

from __future__ import annotations

from behave import then

from galenavane import invariant
from galenavane.soak import fault_types, mutants, render, run, topology


@then("two soak runs of seed {seed:d} have the same events")
def compare_two_runs(context, seed):
    first_run, second_run = (run.run(seed, None, topology.TINY) for _ in range(2))
    for first, second in zip(first_run.events, second_run.events, strict=True):
        assert first == second, (first, second)
    assert first_run.digest == second_run.digest


@then("the soak seeds {seeds} violate no invariant")
def check_seeds(context, seeds):
    for seed in seeds.split(","):
        result = run.run(int(seed), None, topology.TINY)
        assert not result.violations, render.render(result)
        assert not any(topology.API_KEY in str(event.fields) for event in result.events)


@then('the soak detects the mutant "{name}" in a race of two operators')
def catch_mutant(context, name):
    mutant = next(candidate for candidate in mutants.ALL if candidate.name == name)
    race = fault_types.Fault(1.0, fault_types.Kind.OPERATOR_RACE, 1.0, ["renewed", "ordinary"])
    with mutants.applied(mutant):
        result = run.run(1, [race], topology.TINY)
    assert invariant.Number.CONFIGURATION in result.violated_numbers, result.violations
