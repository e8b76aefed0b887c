"""Filters events of several processes and renders them as a timeline."""

from __future__ import annotations

import dataclasses
import datetime
import html
from collections import abc

import msgspec

from galenavane.observe import event_log

ROW_PIXELS = 18
LANE_PIXELS = 150
LEFT_PIXELS = 130
TOP_PIXELS = 40
_EVENT_COLOURS = {
    "lease": "#b45309",
    "table": "#7c3aed",
    "command": "#7c3aed",
    "target": "#0f766e",
    "request": "#1d4ed8",
    "config": "#be185d",
    "invariant": "#dc2626",
}
_DEFAULT_COLOUR = "#475569"


@dataclasses.dataclass(slots=True, frozen=True)
class Filter:
    """Selects the events to show; an empty field matches every event.

    :ivar request: start of the request's id.
    :ivar instance: name of an instance or process.
    :ivar name: start of the event's name, such as ``lease``.
    :ivar since_ms: earliest wall-clock time in milliseconds, 0 for no limit.
    :ivar until_ms: latest wall-clock time in milliseconds, 0 for no limit.
    """

    request: str = ""
    group: str = ""
    instance: str = ""
    name: str = ""
    since_ms: int = 0
    until_ms: int = 0


def filter_events(events: abc.Iterable[event_log.Event], shown: Filter) -> list[event_log.Event]:
    """Return the events that a filter matches."""
    return [event for event in events if _is_shown(event, shown)]


def _is_shown(event: event_log.Event, shown: Filter) -> bool:
    fields = event.fields
    return (
        fields.get("request", "").startswith(shown.request)
        and (not shown.group or fields.get("group") == shown.group)
        and (not shown.instance or shown.instance in (fields.get("instance"), event.process))
        and event.name.startswith(shown.name)
        and event.stamp.wall_ms >= shown.since_ms
        and (not shown.until_ms or event.stamp.wall_ms <= shown.until_ms)
    )


def render_text(events: abc.Sequence[event_log.Event]) -> str:
    """Return one line for each event: time, process, name and fields."""
    width = max((len(event.process) for event in events), default=0)
    return "\n".join(_render_line(event, width) for event in events)


def render_json(events: abc.Sequence[event_log.Event]) -> str:
    """Return one line for each event: a JSON object."""
    return "\n".join(msgspec.json.encode(event).decode() for event in events)


def render_html(events: abc.Sequence[event_log.Event]) -> str:
    """Return a self-contained page with a lane for each process and time running downwards."""
    lanes = sorted({event.process for event in events})
    columns = {name: LEFT_PIXELS + LANE_PIXELS * number for number, name in enumerate(lanes)}
    width = LEFT_PIXELS + LANE_PIXELS * max(1, len(lanes)) + 420
    height = TOP_PIXELS + ROW_PIXELS * (len(events) + 1)
    body = [_render_lane(name, x, height) for name, x in columns.items()]
    body += _render_links(events, columns)
    body += [_render_event(event, row, columns[event.process]) for row, event in enumerate(events)]
    return (
        "<!doctype html><meta charset='utf-8'><title>galenavane timeline</title>"
        f"<svg xmlns='http://www.w3.org/2000/svg' width='{width}' height='{height}' "
        "font-family='monospace' font-size='11'>" + "".join(body) + "</svg>\n"
    )


def _render_line(event: event_log.Event, width: int) -> str:
    fields = " ".join(f"{key}={value}" for key, value in sorted(event.fields.items()))
    return f"{_render_time(event)}  {event.process:<{width}}  {event.name:<18} {fields}".rstrip()


def _render_time(event: event_log.Event) -> str:
    event_time = datetime.datetime.fromtimestamp(event.stamp.wall_ms / 1000, datetime.UTC)
    return f"{event_time:%H:%M:%S}.{event.stamp.wall_ms % 1000:03d}+{event.stamp.count}"


def _render_lane(name: str, x: int, height: int) -> str:
    return (
        f"<text x='{x - 20}' y='16' font-weight='bold'>{html.escape(name)}</text>"
        f"<line x1='{x}' y1='24' x2='{x}' y2='{height}' stroke='#cbd5e1'/>"
    )


def _render_links(
    events: abc.Sequence[event_log.Event], columns: dict[str, int]
) -> abc.Iterator[str]:
    """Connect successive events of one request or command if they are in different lanes."""
    last_points: dict[str, tuple[int, int]] = {}
    for row, event in enumerate(events):
        key = event.fields.get("request") or _make_command_key(event)
        if not key:
            continue
        point = (columns[event.process], _compute_row_y(row))
        last_point = last_points.get(key)
        if last_point is not None and last_point[0] != point[0]:
            yield (
                f"<line x1='{last_point[0]}' y1='{last_point[1]}' x2='{point[0]}' y2='{point[1]}' "
                "stroke='#93c5fd'/>"
            )
        last_points[key] = point


def _make_command_key(event: event_log.Event) -> str:
    if event.name not in ("command.send", "target.command"):
        return ""
    fields = event.fields
    return f"{fields.get('instance')} {fields.get('kind')} {fields.get('epoch')}"


def _render_event(event: event_log.Event, row: int, x: int) -> str:
    y = _compute_row_y(row)
    colour = _EVENT_COLOURS.get(event.name.partition(".")[0], _DEFAULT_COLOUR)
    fields = " ".join(f"{key}={value}" for key, value in sorted(event.fields.items()))
    label = html.escape(f"{event.name} {fields}"[:100])
    return (
        f"<text x='4' y='{y + 4}' fill='#64748b'>{_render_time(event)}</text>"
        f"<circle cx='{x}' cy='{y}' r='4' fill='{colour}'/>"
        f"<text x='{x + 8}' y='{y + 4}' fill='{colour}'>{label}</text>"
    )


def _compute_row_y(row: int) -> int:
    return TOP_PIXELS + ROW_PIXELS * row
