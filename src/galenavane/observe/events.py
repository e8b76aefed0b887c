"""Logs the events of a process as JSON lines, with stamps for the timeline."""

from __future__ import annotations

import contextvars
import sys
import time
import typing
from collections import abc

import eliot

from galenavane.observe import clock

Field = str | int | float | bool | None


class Source:
    """Identity and clock of a real or simulated process that logs events.

    :ivar incarnation: unique id of one run of the process.
    :ivar wall: returns the wall-clock time in seconds.
    """

    __slots__ = ("clock", "data_centre", "incarnation", "name", "wall")

    def __init__(
        self, name: str, data_centre: str, incarnation: str, wall: abc.Callable[[], float]
    ) -> None:
        self.name = name
        self.data_centre = data_centre
        self.incarnation = incarnation
        self.wall = wall
        self.clock = clock.Clock(wall)


_source: contextvars.ContextVar[Source] = contextvars.ContextVar("source")
_default_source = Source("", "", "", time.time)


def set_source(source: Source) -> None:
    """Set the source of events that this task and the tasks that it starts log."""
    _source.set(source)


def name_process(name: str, data_centre: str, incarnation: str) -> None:
    """Set the name of the process, under which events are logged from now on."""
    set_source(Source(name, data_centre, incarnation, time.time))


def start_logging(
    name: str, data_centre: str, incarnation: str, stream: typing.IO[str] | None
) -> None:
    """Name this process and send its events to a stream, standard error by default."""
    name_process(name, data_centre, incarnation)
    eliot.to_file(stream or sys.stderr)


def log(event: str, **fields: Field) -> None:
    """Log one event with the stamp and identity of its source."""
    source = _source.get(_default_source)
    eliot.log_message(
        message_type=event,
        hlc=str(source.clock.tick()),
        process=source.name,
        incarnation=source.incarnation,
        data_centre=source.data_centre,
        **fields,
    )


def make_stamp() -> str:
    """Return a stamp to send along with a message."""
    return str(_source.get(_default_source).clock.tick())


def receive_stamp(text: str) -> None:
    """Advance the clock by the stamp of a received message; a malformed stamp is ignored."""
    remote = clock.parse(text)
    if remote is not None:
        _source.get(_default_source).clock.receive(remote)


def wall_seconds() -> float:
    """Return the wall-clock time of the source in seconds."""
    return _source.get(_default_source).wall()
