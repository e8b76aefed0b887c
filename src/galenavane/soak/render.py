"""Formats failed soak runs as text."""

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


def render(result: run_result.RunResult) -> str:
    """Return the seed, violations, schedule and event timeline of a failed run."""
    lines = [f"seed {result.seed}"]
    lines += [f"  {violation.describe()}" for violation in result.violations]
    lines.append(f"schedule of {len(result.schedule)} faults:")
    lines += [f"  {fault.describe()}" for fault in result.schedule]
    lines.append("timeline:")
    lines += [f"  {line}" for line in _render_timeline(result)]
    return "\n".join(lines)


def _render_timeline(result: run_result.RunResult) -> list[str]:
    first_violation = result.violations[0]
    words = [word.strip("(),") for word in first_violation.text.split()]
    ids = {word for word in words if len(word) == 32 or word.startswith("job-")}
    lines = [
        event.describe()
        for event in result.events
        if event.at_seconds <= first_violation.at_seconds + SHOWN_AFTER_SECONDS
        and (
            ids & {str(value) for value in event.fields.values()}
            or (
                event.kind in _SHOWN_EVENTS
                and event.at_seconds > first_violation.at_seconds - SHOWN_BEFORE_SECONDS
            )
        )
    ]
    return lines[-MAX_TIMELINE_LINES:]
