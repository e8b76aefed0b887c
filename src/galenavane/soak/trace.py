"""Collects the logged events of a run."""

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
    """A logged event.

    :ivar at_seconds: simulated time.
    :ivar fields: logged fields except eliot's own, the message type and the process.
    """

    at_seconds: float
    kind: str
    process: str
    fields: Fields

    def describe(self) -> str:
        """Return a one-line description."""
        shown = {
            key: str(value)[:40]
            for key, value in self.fields.items()
            if key not in ("hlc", "incarnation", "data_centre")
        }
        text = " ".join(f"{key}={value}" for key, value in shown.items())
        return f"{self.at_seconds:8.3f} {self.process:20} {self.kind:20} {text}"


class Trace:
    """Collects eliot messages as events and passes each to a listener.

    :ivar events: events in order of time.
    :ivar listener_error: first exception of the listener, which eliot would ignore.
    """

    __slots__ = ("_digest", "_listener", "events", "listener_error")

    def __init__(self, listener: abc.Callable[[Event], None]) -> None:
        self.events: list[Event] = []
        self._digest = hashlib.sha256()
        self._listener = listener
        self.listener_error: Exception | None = None

    def add_message(self, logged_message: Fields) -> None:
        """Add one message; used as an eliot destination."""
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
        """Return the hash of all events so far."""
        return self._digest.hexdigest()
