"""Steps that send jobs under connection and process faults."""

from __future__ import annotations

from behave import then

from galenavane.experiment import connection_reset_sweep, fault_schedule


@then("the fault schedules of seeds {first:d} to {last:d} cause no violation")
def run_schedules(context, first, last):
    violations = {seed: fault_schedule.run(seed).violations for seed in range(first, last + 1)}
    assert not any(violations.values()), violations


@then("a job whose connection is reset at each {step_bytes:d}th byte runs at most once")
def run_reset_sweep(context, step_bytes):
    result = connection_reset_sweep.run(step_bytes)
    assert not result.violations, result.violations
    assert result.position_count > 100, result.position_count
    assert len(result.outcome_counts) > 1, result.outcome_counts
