"""Network of one process that injects faults into chosen connections."""

from __future__ import annotations

import dataclasses
import enum
import typing
from collections import abc

from galenavane.net import address as addresses
from galenavane.net import http_connection, network, transport_error
from galenavane.simulate import stream


class Kind(enum.StrEnum):
    """Kind of fault; a request travels from the dialing end and an answer to it."""

    NONE = "none"
    REFUSED = "refused"
    RESET_REQUEST = "reset_request"
    RESET_ANSWER = "reset_answer"
    SILENT_REQUEST = "silent_request"
    SILENT_ANSWER = "silent_answer"


@dataclasses.dataclass(slots=True, frozen=True)
class Fault:
    """Fault of one connection.

    :ivar after_bytes: bytes that pass in the faulty direction before a reset or before silence;
        the other kinds ignore it.
    """

    kind: Kind = Kind.NONE
    after_bytes: int = 0


NextFault = abc.Callable[[addresses.Address], Fault]


class FaultyNetwork:
    """Network that asks for a fault at every dial; implements ``network.Network``.

    :ivar listen: ``listen`` of the inner network, which is not affected.
    """

    __slots__ = ("_inner", "_next_fault", "listen")

    def __init__(self, inner: network.Network, next_fault: NextFault) -> None:
        self._inner = inner
        self._next_fault = next_fault
        self.listen = inner.listen

    async def dial(
        self, address: addresses.Address, timeout_seconds: float
    ) -> http_connection.HttpConnection:
        """Open a connection with the next fault.

        :raises transport_error.TransportError: when the fault refuses the connection, or it fails.
        """
        fault = self._next_fault(address)
        if fault.kind is Kind.REFUSED:
            kind = transport_error.Kind.NOT_CONNECTED
            raise transport_error.TransportError(kind, False, f"{address}: connection refused")
        conn = await self._inner.dial(address, timeout_seconds)
        client_end = typing.cast(stream.Stream, conn.stream)
        apply_fault(client_end, fault)
        return conn


def apply_fault(client_end: stream.Stream, fault: Fault) -> None:
    """Apply a fault to an open connection.

    :param client_end: end that sends the request.
    """
    server_end = client_end.other_end()
    if fault.kind is Kind.RESET_REQUEST:
        client_end.reset_after_bytes = fault.after_bytes
    elif fault.kind is Kind.RESET_ANSWER:
        server_end.reset_after_bytes = fault.after_bytes
    elif fault.kind is Kind.SILENT_REQUEST:
        client_end.is_silent = True
    elif fault.kind is Kind.SILENT_ANSWER:
        server_end.silent_after_bytes = fault.after_bytes
