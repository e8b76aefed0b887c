"""A route of the configuration."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.Enum):
    """Kind of requests, which decides whether one with an unknown outcome may be sent again."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service that a route sends requests to, and its weight among them."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and path prefix go.

    :ivar path_prefix: path prefix that begins and ends with a slash.
    :ivar timeout_seconds: longest time until the final answer.
    :ivar latency_target_seconds: target time to the first event of a stream, or to the whole
        answer of other requests.
    :ivar priority: priority class, 0 is most urgent.
    :ivar max_sends: number of targets that one request may be sent to.
    :ivar is_public: whether requests need no API key.
    :ivar is_resumable: whether another target may continue a stream after its last delivered
        event.
    """

    name: str
    host: str
    path_prefix: str
    kind: Kind
    timeout_seconds: float
    latency_target_seconds: float
    priority: int
    weighted_services: tuple[WeightedService, ...]
    max_sends: int
    is_public: bool
    is_resumable: bool

    @property
    def is_retryable(self) -> bool:
        """Whether a request that may have been run can be sent again."""
        return self.kind is Kind.IDEMPOTENT or (self.kind is Kind.STREAM and self.is_resumable)
