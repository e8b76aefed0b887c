"""Steps that run streams under faults."""

from __future__ import annotations

from behave import then

from galenavane.experiment import stream_fault_run


@then("{streams:d} streams of seed {seed:d} show no wrong, doubled or missing token")
def run_streams(context, streams, seed):
    result = stream_fault_run.run(seed, streams)
    assert not result.violations, result.violations
    assert result.ended["whole"] > streams // 2, result
    assert len(result.faults) > 3, result
