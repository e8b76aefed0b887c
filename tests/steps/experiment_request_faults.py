"""Steps that run fault schedules."""

from __future__ import annotations

from behave import then

from galenavane.experiment import connection_reset_sweep, fault_schedule


@then("fault schedules {first:d} to {last:d} show no violation")
def run_schedules(context, first, last):
    found = {seed: fault_schedule.run(seed).violations for seed in range(first, last + 1)}
    assert not any(found.values()), found


@then("a job whose connection breaks at each {step:d}th byte runs at most once")
def run_positions(context, step):
    result = connection_reset_sweep.run(step)
    assert not result.violations, result.violations
    assert result.positions > 100, result.positions
    assert len(result.told) > 1, result.told
