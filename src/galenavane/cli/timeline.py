"""``galenavane timeline``."""

from __future__ import annotations

import datetime
import enum
import pathlib
import sys

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.observe import event_log
from galenavane.observe import timeline as timelines


class Format(enum.Enum):
    """Output format of a timeline."""

    TEXT = "text"
    JSON = "json"
    HTML = "html"


def timeline(
    *files: pathlib.Path,
    request: str = "",
    group: str = "",
    instance: str = "",
    event: str = "",
    since: str = "",
    until: str = "",
    format: Format = Format.TEXT,
) -> int:
    """Merge the logs of several processes into one timeline in causal order.

    Example: ``galenavane timeline entry-*.log engine-*.log --request 3f2a --format html > t.html``

    :param files: logs of entries, stand-ins and targets as JSON lines
    :param request: show only the request whose id starts so
    :param group: show only this group
    :param instance: show only this instance or process
    :param event: show only events whose name starts so, such as ``lease``
    :param since: show only events from this time on, such as 2026-12-04T05:00:00
    :param until: show only events up to this time
    :param format: TEXT, JSON (one object per line) or HTML (one self-contained page)
    """
    parsed = event_log.read_files(files)
    event_filter = timelines.Filter(
        request, group, instance, event, _parse_time(since), _parse_time(until)
    )
    events = timelines.filter_events(parsed.events, event_filter)
    if format is Format.JSON:
        print(timelines.render_json(events))
    elif format is Format.HTML:
        print(timelines.render_html(events), end="")
    else:
        print(timelines.render_text(events))
    print(
        f"{len(events)} of {len(parsed.events)} events, {parsed.skipped} other lines",
        file=sys.stderr,
    )
    return 0


def _parse_time(text: str) -> int:
    if not text:
        return 0
    try:
        parsed_time = datetime.datetime.fromisoformat(text)
    except ValueError:
        problem = f'"{text}" is not a time such as 2026-12-04T05:00:00'
        raise failure.UserError(failure.Failure(codes.Code.BAD_REQUEST, problem)) from None
    if parsed_time.tzinfo is None:
        parsed_time = parsed_time.replace(tzinfo=datetime.UTC)
    return int(parsed_time.timestamp() * 1000)
