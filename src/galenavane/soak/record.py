"""What one caller sent and what it was told."""

from __future__ import annotations

import dataclasses
import enum


class Ending(enum.StrEnum):
    """How a request ended as its caller saw it."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclasses.dataclass(slots=True)
class Record:
    """One request of one caller.

    :ivar job: text of the job, empty for a completion or a lookup.
    :ivar idempotency_key: idempotency key, empty when there is none.
    :ivar outcome: outcome in the error that the caller was told, if any.
    :ivar status: HTTP status, 0 when there was none.
    """

    entry: str
    started_at: float
    job: str = ""
    idempotency_key: str = ""
    ended_at: float = 0.0
    ending: Ending = Ending.TIMEOUT
    request_id: str = ""
    outcome: str = ""
    status: int = 0
