"""How much of an answer has been delivered to its caller."""

from __future__ import annotations

from galenavane import invariant
from galenavane.target import completion


class StreamState:
    """Progress of one answer over all tries.

    :ivar delivered: tokens delivered, which is the offset to resume from.
    :ivar first_token_at: monotonic time of the first token of the present try.
    :ivar tried: groups that failed since the last success.
    """

    __slots__ = (
        "_try_start",
        "body",
        "caller_gone",
        "delivered",
        "first_token_at",
        "request_id",
        "texts",
        "tried",
        "tries",
    )

    def __init__(self, request_id: str, body: completion.CompletionRequest) -> None:
        self.request_id = request_id
        self.body = body
        self.delivered = 0
        self.texts: list[str] = []
        self.tried: set[str] = set()
        self.tries = 0
        self.caller_gone = False
        self.first_token_at = 0.0
        self._try_start = 0

    def begin_try(self) -> None:
        """Note that a further group goes on with the answer."""
        self.tries += 1
        self._try_start = self.delivered

    def accept(self, chunk: completion.Chunk, now: float) -> bool:
        """Take in a chunk; return whether it is new. A hole or a foreign id is a defect."""
        invariant.check(
            invariant.Number.OWN_ANSWER,
            chunk.id == self.request_id,
            f"chunk of {chunk.id} in the answer to {self.request_id}",
        )
        if chunk.offset < self.delivered:
            return False
        invariant.check(
            invariant.Number.OWN_ANSWER,
            chunk.offset == self.delivered,
            f"token {chunk.offset} after {self.delivered} tokens",
        )
        if self.delivered == self._try_start:
            self.first_token_at = now
        self.delivered += 1
        choice = chunk.choices[0]
        self.texts.append(choice.delta.content or choice.text)
        return True
