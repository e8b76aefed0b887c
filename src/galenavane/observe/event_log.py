"""Reads events from log files of one or more processes."""

from __future__ import annotations

import json
import pathlib
from collections import abc

import msgspec

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.observe import clock

_SOURCE_FIELDS = frozenset(
    {
        "data_centre",
        "hlc",
        "incarnation",
        "message_type",
        "process",
        "task_level",
        "task_uuid",
        "timestamp",
    }
)


class Event(msgspec.Struct, frozen=True):
    """A logged event of a process.

    :ivar fields: fields of the event without those of its source, as text.
    """

    stamp: clock.Stamp
    process: str
    incarnation: str
    data_centre: str
    name: str
    fields: dict[str, str]


class ParsedEvents(msgspec.Struct, frozen=True):
    """Events in causal order.

    :ivar skipped: number of lines that are not events, such as a line cut off when the process was
        killed.
    """

    events: list[Event]
    skipped: int


def read_files(paths: abc.Sequence[pathlib.Path]) -> ParsedEvents:
    """Read and merge the logs of several processes.

    :raises failure.UserError: when a file does not exist.
    """
    events: list[Event] = []
    skipped = 0
    for path in paths:
        if not path.is_file():
            text = f'file "{path}" does not exist'
            raise failure.UserError(failure.Failure(codes.Code.FILE_MISSING, text))
        with path.open(encoding="utf-8", errors="replace") as log_file:
            for line in log_file:
                event = parse_line(line)
                if event is None:
                    skipped += 1
                else:
                    events.append(event)
    events.sort(key=lambda event: (event.stamp, event.process))
    return ParsedEvents(events, skipped)


def parse_line(line: str) -> Event | None:
    """Parse a line of a log; ``None`` when it is not an event."""
    try:
        record = json.loads(line)
    except ValueError:
        return None
    if not isinstance(record, dict):
        return None
    stamp = clock.parse(str(record.get("hlc", "")))
    if stamp is None:
        return None
    fields = {
        str(key): _format_value(value) for key, value in record.items() if key not in _SOURCE_FIELDS
    }
    return Event(
        stamp,
        str(record.get("process", "")),
        str(record.get("incarnation", "")),
        str(record.get("data_centre", "")),
        str(record.get("message_type", "")),
        fields,
    )


def _format_value(value: object) -> str:
    return value if isinstance(value, str) else json.dumps(value)
