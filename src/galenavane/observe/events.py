"""Events of this process, logged as JSON lines for the time line."""

from __future__ import annotations

import sys
import typing
import uuid

import eliot

from galenavane.observe import clock

Field = str | int | float | bool | None


class _Process:
    """Who logs."""

    __slots__ = ("clock", "data_centre", "incarnation", "name")

    def __init__(self) -> None:
        self.clock = clock.Clock()
        self.name = ""
        self.data_centre = ""
        self.incarnation = uuid.uuid4().hex[:12]


_process = _Process()


def start(name: str, data_centre: str, stream: typing.IO[str] | None = None) -> str:
    """Name this process and send its events to a stream; return its incarnation."""
    _process.name = name
    _process.data_centre = data_centre
    eliot.to_file(stream or sys.stderr)
    return _process.incarnation


def log(event: str, **fields: Field) -> None:
    """Log one event with the process's clock and identity."""
    eliot.log_message(
        message_type=event,
        hlc=str(_process.clock.tick()),
        process=_process.name,
        incarnation=_process.incarnation,
        data_centre=_process.data_centre,
        **fields,
    )


def stamp() -> str:
    """Return a stamp to send along with a message."""
    return str(_process.clock.tick())


def receive(text: str) -> None:
    """Take in the stamp of a received message."""
    remote = clock.parse(text)
    if remote is not None:
        _process.clock.receive(remote)
