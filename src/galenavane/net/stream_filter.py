"""What a relay asks of the code that understands a stream."""

from __future__ import annotations

import dataclasses
import typing


class StreamFilter(typing.Protocol):
    """Turns bytes of the source into bytes for the sink; makes no input or output.

    What was read before an error is still returned; the error is told after it was sent.

    :ivar is_done: nothing more has to be read.
    :ivar error: why the stream ended too early, ``None`` when it did not.
    """

    is_done: bool
    error: Exception | None

    def start(self, now: float) -> bytes:
        """Return what is to be sent for bytes that came along with the head."""

    def feed(self, data: bytes, now: float) -> bytes:
        """Take in what was read, empty at the end of the stream; return what is to be sent."""


@dataclasses.dataclass(slots=True, frozen=True)
class Deadlines:
    """How long the two ends may take.

    :ivar first_seconds: wait for the first bytes of the source.
    :ivar progress_seconds: longest pause after that.
    :ivar write_seconds: longest time in which the sink takes nothing.
    """

    first_seconds: float
    progress_seconds: float
    write_seconds: float
