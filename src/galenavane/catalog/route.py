"""One route of the configuration."""

from __future__ import annotations

import enum

import msgspec


class Kind(enum.Enum):
    """What may be done with a request whose outcome is unknown."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAM = "stream"


class WeightedService(msgspec.Struct, frozen=True):
    """A service behind a route and its share of the requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Where requests of a host and path prefix go.

    :ivar path_prefix: begins and ends with a slash.
    :ivar timeout_seconds: longest time until the final answer.
    :ivar latency_target_seconds: first event of a stream, whole answer of other requests.
    :ivar priority: 0 is most urgent.
    :ivar max_sends: targets that one request may be sent to.
    :ivar is_public: needs no key.
    :ivar is_resumable: another target may go on after the last event that was delivered.
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
        """Whether a request that may have run can be sent again."""
        return self.kind is Kind.IDEMPOTENT or (self.kind is Kind.STREAM and self.is_resumable)
