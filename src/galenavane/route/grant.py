"""The right to send one request to one group."""

from __future__ import annotations

import dataclasses

from galenavane.route import candidate as candidates


@dataclasses.dataclass(slots=True, frozen=True)
class RoutingRequest:
    """A request that wants a group.

    :ivar account: client account that is charged.
    :ivar priority: of its service; 0 goes first.
    :ivar prompt: prompt text, for the cached prefix.
    :ivar prompt_tokens: estimated size of the prompt.
    :ivar max_tokens: longest answer.
    :ivar deadline: monotonic time after which the answer is of no use.
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
    """A request may be sent to a group now.

    :ivar sent_at: monotonic time of the grant.
    """

    request: RoutingRequest
    candidate: candidates.Candidate
    sent_at: float


@dataclasses.dataclass(slots=True, frozen=True)
class AttemptResult:
    """How a granted request went.

    :ivar first_token_seconds: ``None`` when no token came.
    :ivar tokens: tokens delivered in this try.
    :ivar failed: whether the target failed it.
    """

    first_token_seconds: float | None
    tokens: int
    failed: bool
