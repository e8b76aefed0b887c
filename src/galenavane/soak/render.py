"""Failures of soak runs as text."""

from __future__ import annotations

from galenavane.soak import run_result

_SHOWN_EVENTS = (
    "fault.begin",
    "fault.end",
    "soak.violation",
    "invariant.violated",
    "config.in_force",
    "operator.accepted",
    "operator.failed",
    "lease.token",
    "table.written",
    "table.lost",
    "entry.start",
    "entry.leaving",
    "entry.stop",
    "target.command",
)
MAX_TIMELINE_LINES = 120
SHOWN_BEFORE_SECONDS = 20.0
SHOWN_AFTER_SECONDS = 1.0


def render(found: run_result.RunResult) -> str:
    """Return seed, violations, schedule and time line of a failed run."""
    lines = [f"seed {found.seed}"]
    lines += [f"  {one.describe()}" for one in found.violations]
    lines.append(f"schedule of {len(found.schedule)} faults:")
    lines += [f"  {one.describe()}" for one in found.schedule]
    lines.append("time line:")
    lines += [f"  {line}" for line in _render_timeline(found)]
    return "\n".join(lines)


def _render_timeline(found: run_result.RunResult) -> list[str]:
    first = found.violations[0]
    words = [word.strip("(),") for word in first.text.split()]
    ids = {word for word in words if len(word) == 32 or word.startswith("job-")}
    lines = [
        event.describe()
        for event in found.events
        if event.at_seconds <= first.at_seconds + SHOWN_AFTER_SECONDS
        and (
            ids & {str(value) for value in event.fields.values()}
            or (
                event.kind in _SHOWN_EVENTS
                and event.at_seconds > first.at_seconds - SHOWN_BEFORE_SECONDS
            )
        )
    ]
    return lines[-MAX_TIMELINE_LINES:]
