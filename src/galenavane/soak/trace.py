"""The events of one run, in order of time."""

from __future__ import annotations

import dataclasses
import hashlib
import json
from collections import abc

import trio

Fields = dict[str, object]
_OMITTED_FIELDS = ("task_uuid", "task_level", "timestamp", "message_type", "process")


@dataclasses.dataclass(slots=True, frozen=True)
class Event:
    """One logged event.

    :ivar fields: what was logged with it.
    """

    at_seconds: float
    kind: str
    process: str
    fields: Fields

    def describe(self) -> str:
        """Return one line for people."""
        shown = {
            key: str(value)[:40]
            for key, value in self.fields.items()
            if key not in ("hlc", "incarnation", "data_centre")
        }
        text = " ".join(f"{key}={value}" for key, value in shown.items())
        return f"{self.at_seconds:8.3f} {self.process:20} {self.kind:20} {text}"


class Trace:
    """Takes in eliot's messages and hands each to a listener.

    :ivar listener_error: the first exception of the listener, which eliot would pass over.
    """

    __slots__ = ("_digest", "_listener", "events", "listener_error")

    def __init__(self, listener: abc.Callable[[Event], None]) -> None:
        self.events: list[Event] = []
        self._digest = hashlib.sha256()
        self._listener = listener
        self.listener_error: Exception | None = None

    def add_message(self, logged_message: Fields) -> None:
        """Take in one message; an eliot destination."""
        fields = {key: value for key, value in logged_message.items() if key not in _OMITTED_FIELDS}
        kind = str(logged_message.get("message_type", ""))
        event = Event(trio.current_time(), kind, str(logged_message.get("process", "")), fields)
        self.events.append(event)
        line = json.dumps([event.at_seconds, kind, event.process, fields], sort_keys=True)
        self._digest.update(line.encode())
        try:
            self._listener(event)
        except Exception as exc:
            self.listener_error = self.listener_error or exc

    def digest(self) -> str:
        """Return a hash of all events so far."""
        return self._digest.hexdigest()
