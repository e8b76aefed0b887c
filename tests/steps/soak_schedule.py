"""Steps for generated and shortened schedules."""

from __future__ import annotations

import random

from behave import then

from galenavane.soak import fault_types, run_result, schedule, shrink, topology, violation

LENGTH_SECONDS = 25.0
LIMIT_SECONDS = 10.0


@then("{count:d} soak schedules hold every kind of fault and some hold planned ones only")
def generate_many(context, count):
    kinds = set()
    planned_only = 0
    for seed in range(count):
        rng = random.Random(seed)
        made = schedule.generate(rng, topology.generate(rng, topology.FULL), LENGTH_SECONDS)
        kinds |= {one.kind for one in made}
        planned_only += all(one.is_planned for one in made)
        assert made == sorted(made, key=lambda one: one.at_seconds)
    assert kinds == set(fault_types.Kind)
    assert planned_only


@then("shortening a soak schedule of {count:d} faults that needs {needed:d} leaves those {left:d}")
def shorten(context, count, needed, left):
    faults = [
        fault_types.Fault(float(at), fault_types.Kind.KILL, 1.0, [f"engine-{at}"])
        for at in range(count)
    ]
    wanted = random.Random(1).sample(faults, needed)

    def run(seed, kept):
        fails = all(one in kept for one in wanted)
        seen = [violation.Violation(1, 0.0, "")] if fails else []
        return run_result.RunResult(seed, kept, seen, 0.0, "", {}, [])

    found = shrink.shrink(run(1, faults), run, LIMIT_SECONDS)
    assert sorted(one.at_seconds for one in found.schedule) == sorted(
        one.at_seconds for one in wanted
    )
    assert len(found.schedule) == left
