"""Steps that run streams under faults."""

from __future__ import annotations

from behave import then

from galenavane.experiment import stream_fault_run


@then("{stream_count:d} streams of seed {seed:d} have no wrong, duplicated or missing token")
def run_streams(context, stream_count, seed):
    result = stream_fault_run.run(seed, stream_count)
    assert not result.violations, result.violations
    assert result.ending_counts["whole"] > stream_count // 2, result
    assert len(result.fault_counts) > 3, result
