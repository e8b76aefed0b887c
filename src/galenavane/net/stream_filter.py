"""Interface of filters that process a relayed stream."""

from __future__ import annotations

import dataclasses
import typing


class StreamFilter(typing.Protocol):
    """Converts bytes from the source into bytes for the sink, without doing any I/O.

    Output from before an error is still returned; the relay raises the error after sending it.

    :ivar is_done: whether nothing more has to be read.
    :ivar error: why the stream ended early; ``None`` when it did not.
    """

    is_done: bool
    error: Exception | None

    def start(self, now: float) -> bytes:
        """Return the output for bytes that were received together with the response head.

        :param now: monotonic time in seconds.
        """

    def feed(self, data: bytes, now: float) -> bytes:
        """Process bytes and return the output.

        :param data: bytes that were read; empty at the end of the stream.
        :param now: monotonic time in seconds.
        """


@dataclasses.dataclass(slots=True, frozen=True)
class Deadlines:
    """Timeouts of a relayed stream.

    :ivar first_seconds: maximum wait for the first bytes from the source.
    :ivar progress_seconds: maximum pause between later bytes from the source.
    :ivar write_seconds: maximum time in which the sink accepts no bytes.
    """

    first_seconds: float
    progress_seconds: float
    write_seconds: float
