"""Events of a process, logged as JSON lines for the time line."""

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
    """Who logs: one process, or one simulated process.

    :ivar wall: returns the wall clock in seconds.
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
    """Log as a source in this task and the tasks that it starts."""
    _source.set(source)


def name_process(name: str, data_centre: str, incarnation: str) -> None:
    """Log as a process from now on."""
    set_source(Source(name, data_centre, incarnation, time.time))


def start_logging(
    name: str, data_centre: str, incarnation: str, stream: typing.IO[str] | None
) -> None:
    """Name this process and send its events to a stream, standard error by default."""
    name_process(name, data_centre, incarnation)
    eliot.to_file(stream or sys.stderr)


def log(event: str, **fields: Field) -> None:
    """Log one event with its source's clock and identity."""
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
    """Take in the stamp of a received message."""
    remote = clock.parse(text)
    if remote is not None:
        _source.get(_default_source).clock.receive(remote)


def wall_seconds() -> float:
    """Return the source's wall clock."""
    return _source.get(_default_source).wall()
