"""Summary of a load as text and as JSON, which later runs can be compared with."""

from __future__ import annotations

import msgspec
from hdrh import histogram

from galenavane.load import result as results

CURVE_PERCENTILES = (1, 5, 10, 25, 50, 75, 90, 95, 98, 99, 99.5, 99.9, 100)


class Latency(msgspec.Struct, frozen=True):
    """Latency percentiles in milliseconds.

    :ivar count: number of recorded latencies.
    :ivar curve: pairs of percentile and milliseconds for a plot.
    """

    p50_ms: float
    p95_ms: float
    p99_ms: float
    count: int
    curve: list[tuple[float, float]] = []


class Summary(msgspec.Struct, frozen=True):
    """Result of a load, written as JSON.

    :ivar placed: number of jobs that were answered with success.
    :ivar refused: failures by code name and outcome.
    """

    answered: int
    resumed: int
    wrong: int
    placed: int
    refused: dict[str, int]
    first_token: Latency
    between_tokens: Latency


def summarise(result: results.Result) -> Summary:
    """Return the summary of a result."""
    return Summary(
        result.answered,
        result.resumed,
        result.wrong,
        len(result.placed),
        dict(sorted(result.refused.items())),
        _summarise_latency(result.first_token),
        _summarise_latency(result.between_tokens),
    )


def render(result: results.Result) -> str:
    """Return the summary as text; its last line is the number of wrong answers."""
    summary = summarise(result)
    lines = [
        f"completions answered  {summary.answered}, "
        f"of which {summary.resumed} were resumed elsewhere",
        f"first token           {_render_latency(summary.first_token)}",
        f"between tokens        {_render_latency(summary.between_tokens)}",
        f"jobs placed           {summary.placed} of {len(result.sent_jobs)}",
    ]
    lines += [f"refused               {count} x {name}" for name, count in summary.refused.items()]
    lines.append(f"wrong answers         {summary.wrong}")
    return "\n".join(lines)


def _summarise_latency(recorded: histogram.HdrHistogram) -> Latency:
    p50, p95, p99 = (
        recorded.get_value_at_percentile(percentile) / 1000 for percentile in (50, 95, 99)
    )
    curve = [
        (percentile, recorded.get_value_at_percentile(percentile) / 1000)
        for percentile in CURVE_PERCENTILES
    ]
    return Latency(p50, p95, p99, recorded.get_total_count(), curve)


def _render_latency(latency: Latency) -> str:
    return f"p50 {latency.p50_ms:.1f} ms, p95 {latency.p95_ms:.1f} ms, p99 {latency.p99_ms:.1f} ms"
