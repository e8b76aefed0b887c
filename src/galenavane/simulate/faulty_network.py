"""A process's network whose connections break as a schedule says."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections import abc

from galenavane.net import address as addresses
from galenavane.net import http_connection, network, transport_error
from galenavane.simulate import stream


class Kind(enum.StrEnum):
    """What happens to one connection."""

    NONE = "none"
    REFUSED = "refused"
    RESET_REQUEST = "reset_request"
    RESET_ANSWER = "reset_answer"
    SILENT_REQUEST = "silent_request"
    SILENT_ANSWER = "silent_answer"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """What happens to one connection.

    :ivar after_bytes: bytes before a reset, or of an answer before silence.
    """

    kind: Kind = Kind.NONE
    after_bytes: int = 0


NextFault = abc.Callable[[addresses.Address], Fault]


class FaultyNetwork:
    """A network that asks for a fault at every dial; implements ``network.Network``."""

    __slots__ = ("_inner", "_next_fault", "listen")

    def __init__(self, inner: network.Network, next_fault: NextFault) -> None:
        self._inner = inner
        self._next_fault = next_fault
        self.listen = inner.listen

    async def dial(
        self, address: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        """Open a connection and arrange its fault."""
        fault = self._next_fault(address)
        if fault.kind is Kind.REFUSED:
            kind = transport_error.Kind.NOT_CONNECTED
            raise transport_error.TransportError(kind, False, f"{address}: refused")
        conn = await self._inner.dial(address, timeout_seconds)
        client_end = typing.cast(stream.Stream, conn.stream)
        apply_fault(client_end, fault)
        return conn


def apply_fault(client_end: stream.Stream, fault: Fault) -> None:
    """Arrange a fault on an open connection, seen from the end that asks."""
    server_end = client_end.other_end()
    if fault.kind is Kind.RESET_REQUEST:
        client_end.reset_after_bytes = fault.after_bytes
    elif fault.kind is Kind.RESET_ANSWER:
        server_end.reset_after_bytes = fault.after_bytes
    elif fault.kind is Kind.SILENT_REQUEST:
        client_end.is_silent = True
    elif fault.kind is Kind.SILENT_ANSWER:
        server_end.silent_after_bytes = fault.after_bytes
