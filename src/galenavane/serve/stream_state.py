"""How much of an answer has been delivered to its caller."""

from __future__ import annotations

from galenavane import invariant
from galenavane.target import completion


class StreamState:
    """Progress of one answer over all tries.

    :ivar delivered_tokens: tokens delivered, which is the offset to resume from.
    :ivar token_texts: text of each token that this entry delivered.
    :ivar first_token_at: monotonic time of the first token of the present try.
    :ivar failed_groups: groups that failed since the last success.
    :ivar usage: what the engine counted, ``None`` when it does not say.
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
        """Note that a further try goes on with the answer."""
        self.try_count += 1
        self._try_start = self.delivered_tokens

    def accept_chunk(self, chunk: completion.PartialChunk, now: float) -> bool:
        """Take in a chunk; return whether it is new.

        :raises ViolationError: when it is of another request or leaves a hole.
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
            f"token {chunk.offset} of {chunk.id} after "
            f"{self.delivered_tokens} of {self.request_id}",
        )
