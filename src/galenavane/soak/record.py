"""Record of a caller's request and its result."""

from __future__ import annotations

import dataclasses
import enum


class Ending(enum.StrEnum):
    """How a request ended from its caller's point of view."""

    WHOLE = "whole"
    REFUSED = "refused"
    BROKEN = "broken"
    TIMEOUT = "timeout"


@dataclasses.dataclass(slots=True)
class Record:
    """A caller's request.

    :ivar started_at: start of the request on trio's clock, in seconds.
    :ivar job: text of the job, empty for a completion or a lookup.
    :ivar idempotency_key: empty when the request has none.
    :ivar ended_at: end of the request on trio's clock, in seconds.
    :ivar ending: ``TIMEOUT`` until the request has ended.
    :ivar outcome: outcome in the error response, empty when there was none.
    :ivar status: HTTP status, 0 without a response.
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
