"""Steps for generating and shrinking fault schedules."""

from __future__ import annotations

import random

from behave import then

from galenavane.soak import fault_types, run_result, schedule, shrink, topology, violation

LENGTH_SECONDS = 25.0
LIMIT_SECONDS = 10.0


@then("{count:d} soak schedules have every kind of fault and some have only planned ones")
def check_many_schedules(context, count):
    kinds = set()
    planned_only = 0
    for seed in range(count):
        rng = random.Random(seed)
        generated = schedule.generate(rng, topology.generate(rng, topology.FULL), LENGTH_SECONDS)
        kinds |= {fault.kind for fault in generated}
        planned_only += all(fault.is_planned for fault in generated)
        assert generated == sorted(generated, key=lambda fault: fault.at_seconds)
    assert kinds == set(fault_types.Kind)
    assert planned_only


@then(
    "shrinking a soak schedule of {count:d} faults, {needed:d} of which cause the failure, "
    "leaves those {left:d}"
)
def check_shortening(context, count, needed, left):
    faults = [
        fault_types.Fault(float(at), fault_types.Kind.KILL, 1.0, [f"engine-{at}"])
        for at in range(count)
    ]
    needed_faults = random.Random(1).sample(faults, needed)

    def run(seed, kept_faults):
        fails = all(fault in kept_faults for fault in needed_faults)
        violations = [violation.Violation(1, 0.0, "")] if fails else []
        return run_result.RunResult(seed, kept_faults, violations, 0.0, "", {}, [])

    result = shrink.shrink(run(1, faults), run, LIMIT_SECONDS)
    assert sorted(fault.at_seconds for fault in result.schedule) == sorted(
        fault.at_seconds for fault in needed_faults
    )
    assert len(result.schedule) == left
