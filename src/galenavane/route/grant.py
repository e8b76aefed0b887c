"""A routing request, its grant of a group and the result of sending it."""

from __future__ import annotations

import dataclasses

from galenavane.route import candidate as candidates


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingRequest:
    """A request to be routed to a group.

    :ivar account: client account that is charged.
    :ivar priority: priority class, 0 is most urgent.
    :ivar prompt: prompt text, to find cached prefixes.
    :ivar prompt_tokens: estimated length of the prompt in tokens.
    :ivar max_tokens: maximum length of the answer in tokens.
    :ivar deadline: monotonic time after which the answer is useless to the caller.
    """

    request_id: str
    account: str
    service: str
    model: str
    version: str
    adapter: str
    priority: int
    prompt: str
    prompt_tokens: int
    max_tokens: int
    deadline: float


@dataclasses.dataclass(slots=True, frozen=True)
class Grant:
    """The permission to send one request to one group now.

    :ivar sent_at: monotonic time of the grant.
    """

    request: RoutingRequest
    candidate: candidates.Candidate
    sent_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptResult:
    """Result of sending a granted request.

    :ivar first_token_seconds: time to first token, ``None`` when no token arrived.
    :ivar tokens: tokens delivered in this attempt.
    :ivar failed: whether the target failed the request.
    """

    first_token_seconds: float | None
    tokens: int
    failed: bool
