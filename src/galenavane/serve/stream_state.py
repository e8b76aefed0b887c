"""Tracks how much of a completion has been delivered to its caller."""

from __future__ import annotations

from galenavane import invariant
from galenavane.target import completion


class StreamState:
    """Progress of one completion over all tries.

    :ivar delivered_tokens: number of delivered tokens, which is the offset to resume from.
    :ivar token_texts: text of each token that this entry delivered.
    :ivar failed_groups: names of the groups that failed this request.
    :ivar try_count: number of tries so far.
    :ivar first_token_at: monotonic time in seconds of the current try's first token.
    :ivar finish_reason: reason that the engine gave; ``None`` before there is one.
    :ivar usage: token counts from the engine; ``None`` when it sent none.
    """

    __slots__ = (
        "_try_start",
        "delivered_tokens",
        "failed_groups",
        "finish_reason",
        "first_token_at",
        "request_id",
        "token_texts",
        "try_count",
        "usage",
    )

    def __init__(self, request_id: str, delivered: int = 0) -> None:
        self.request_id = request_id
        self.delivered_tokens = delivered
        self.token_texts: list[str] = []
        self.failed_groups: set[str] = set()
        self.try_count = 0
        self.first_token_at = 0.0
        self.finish_reason: str | None = None
        self.usage: completion.Usage | None = None
        self._try_start = delivered

    def begin_try(self) -> None:
        """Count another try, which resumes the completion."""
        self.try_count += 1
        self._try_start = self.delivered_tokens

    def accept_chunk(self, chunk: completion.PartialChunk, now: float) -> bool:
        """Process a chunk and return whether it is new.

        :param now: monotonic time in seconds.
        :raises ViolationError: when it belongs to another request or skips tokens.
        """
        if chunk.id != self.request_id or chunk.offset > self.delivered_tokens:
            self._raise_violation(chunk)
        if chunk.offset < self.delivered_tokens:
            return False
        if self.delivered_tokens == self._try_start:
            self.first_token_at = now
        self.delivered_tokens += 1
        if chunk.choices:
            choice = chunk.choices[0]
            self.token_texts.append(choice.delta.content or choice.text)
            if choice.finish_reason is not None:
                self.finish_reason = choice.finish_reason
        if chunk.usage is not None:
            self.usage = chunk.usage
        return True

    def _raise_violation(self, chunk: completion.PartialChunk) -> None:
        invariant.check(
            invariant.Number.OWN_ANSWER,
            False,
            f"received token {chunk.offset} of request {chunk.id} after "
            f"{self.delivered_tokens} tokens of request {self.request_id}",
        )
