"""Plots latencies of a load by percentile as SVG, optionally beside an earlier run."""

from __future__ import annotations

import math

from galenavane.load import report

WIDTH_PX = 720
HEIGHT_PX = 360
MARGIN_PX = 60
MIN_MS = 0.1
_COLOURS = ("#1b6ca8", "#9aa5ad")


def draw(current: report.Summary, earlier: report.Summary | None) -> str:
    """Return an SVG plot of first-token and between-token latencies by percentile.

    Milliseconds are on a log scale, and percentiles on a scale that widens towards 100.
    """
    runs = [current] if earlier is None else [current, earlier]
    top_ms = max(ms for summary in runs for part in _list_curves(summary) for _, ms in part) * 1.5
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH_PX}" height="{HEIGHT_PX}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        *_draw_axes(top_ms),
    ]
    for number, summary in enumerate(runs):
        first, between = _list_curves(summary)
        name = "this run" if number == 0 else "earlier run"
        lines.append(_draw_curve(first, top_ms, _COLOURS[number], "", f"first token, {name}"))
        lines.append(
            _draw_curve(between, top_ms, _COLOURS[number], "4 3", f"between tokens, {name}")
        )
    return "\n".join([*lines, "</svg>"]) + "\n"


def _list_curves(summary: report.Summary) -> list[list[tuple[float, float]]]:
    return [summary.first_token.curve, summary.between_tokens.curve]


def _x(percentile: float) -> float:
    tail_percent = max(0.05, 100.0 - percentile)
    return MARGIN_PX + (2.0 - math.log10(tail_percent)) / (2.0 - math.log10(0.05)) * (
        WIDTH_PX - 2 * MARGIN_PX
    )


def _y(ms: float, top_ms: float) -> float:
    fraction = math.log10(max(MIN_MS, ms) / MIN_MS) / math.log10(top_ms / MIN_MS)
    return HEIGHT_PX - MARGIN_PX - fraction * (HEIGHT_PX - 2 * MARGIN_PX)


def _draw_axes(top_ms: float) -> list[str]:
    lines = []
    for percentile in (0, 50, 90, 95, 99, 99.9):
        position = f'x="{_x(percentile):.1f}" y="{HEIGHT_PX - MARGIN_PX + 16}"'
        lines.append(f'<text {position} text-anchor="middle">{percentile}%</text>')
    ms = MIN_MS
    while ms < top_ms:
        y = _y(ms, top_ms)
        lines.append(
            f'<line x1="{MARGIN_PX}" x2="{WIDTH_PX - MARGIN_PX}" '
            f'y1="{y:.1f}" y2="{y:.1f}" stroke="#eee"/>'
        )
        lines.append(
            f'<text x="{MARGIN_PX - 6}" y="{y + 4:.1f}" text-anchor="end">{ms:g} ms</text>'
        )
        ms *= 10
    return lines


def _draw_curve(
    points: list[tuple[float, float]], top_ms: float, colour: str, dashes: str, label: str
) -> str:
    coordinates = " ".join(
        f"{_x(percentile):.1f},{_y(ms, top_ms):.1f}" for percentile, ms in points
    )
    dash_attribute = f' stroke-dasharray="{dashes}"' if dashes else ""
    x, y = coordinates.rpartition(" ")[2].split(",") if points else ("0", "0")
    return (
        f'<polyline points="{coordinates}" fill="none" stroke="{colour}"{dash_attribute}/>'
        f'<text x="{float(x) - 4:.1f}" y="{float(y) - 5:.1f}" text-anchor="end" '
        f'fill="{colour}">{label}</text>'
    )
