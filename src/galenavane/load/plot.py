"""Latency curves of a load as SVG, beside those of an earlier one."""

from __future__ import annotations

import math

from galenavane.load import report

WIDTH = 720
HEIGHT = 360
MARGIN = 60
FLOOR_MS = 0.1
_COLOURS = ("#1b6ca8", "#9aa5ad")


def draw(found: report.Summary, earlier: report.Summary | None) -> str:
    """Return a picture of both latencies by percentile, milliseconds on a log scale."""
    runs = [found] if earlier is None else [found, earlier]
    top = max(ms for one in runs for part in _parts(one) for _, ms in part) * 1.5
    lines = [
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" height="{HEIGHT}" '
        'font-family="sans-serif" font-size="11">',
        '<rect width="100%" height="100%" fill="white"/>',
        *_axis(top),
    ]
    for number, one in enumerate(runs):
        first, between = _parts(one)
        name = "this run" if number == 0 else "earlier run"
        lines.append(_curve(first, top, _COLOURS[number], "", f"first token, {name}"))
        lines.append(_curve(between, top, _COLOURS[number], "4 3", f"between tokens, {name}"))
    return "\n".join([*lines, "</svg>"]) + "\n"


def _parts(one: report.Summary) -> list[list[tuple[float, float]]]:
    return [one.first_token.curve, one.between_tokens.curve]


def _x(percentile: float) -> float:
    left = max(0.05, 100.0 - percentile)
    return MARGIN + (2.0 - math.log10(left)) / (2.0 - math.log10(0.05)) * (WIDTH - 2 * MARGIN)


def _y(ms: float, top: float) -> float:
    part = math.log10(max(FLOOR_MS, ms) / FLOOR_MS) / math.log10(top / FLOOR_MS)
    return HEIGHT - MARGIN - part * (HEIGHT - 2 * MARGIN)


def _axis(top: float) -> list[str]:
    lines = []
    for percentile in (0, 50, 90, 95, 99, 99.9):
        where = f'x="{_x(percentile):.1f}" y="{HEIGHT - MARGIN + 16}"'
        lines.append(f'<text {where} text-anchor="middle">{percentile}%</text>')
    ms = FLOOR_MS
    while ms < top:
        y = _y(ms, top)
        lines.append(
            f'<line x1="{MARGIN}" x2="{WIDTH - MARGIN}" y1="{y:.1f}" y2="{y:.1f}" stroke="#eee"/>'
        )
        lines.append(f'<text x="{MARGIN - 6}" y="{y + 4:.1f}" text-anchor="end">{ms:g} ms</text>')
        ms *= 10
    return lines


def _curve(
    points: list[tuple[float, float]], top: float, colour: str, dashes: str, name: str
) -> str:
    where = " ".join(f"{_x(percentile):.1f},{_y(ms, top):.1f}" for percentile, ms in points)
    dash = f' stroke-dasharray="{dashes}"' if dashes else ""
    x, y = where.rpartition(" ")[2].split(",") if points else ("0", "0")
    return (
        f'<polyline points="{where}" fill="none" stroke="{colour}"{dash}/>'
        f'<text x="{float(x) - 4:.1f}" y="{float(y) - 5:.1f}" text-anchor="end" '
        f'fill="{colour}">{name}</text>'
    )
