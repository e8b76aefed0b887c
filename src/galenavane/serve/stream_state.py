"""How much of an answer has been delivered to its caller."""

from __future__ import annotations

from galenavane import invariant
from galenavane.target import completion


class StreamState:
    """Progress of one answer over all tries.

    :ivar delivered: tokens delivered, which is the offset to resume from.
    :ivar tried: groups that failed since the last success.
    """

    __slots__ = ("body", "caller_gone", "delivered", "request_id", "texts", "tried", "tries")

    def __init__(self, request_id: str, body: completion.CompletionRequest) -> None:
        self.request_id = request_id
        self.body = body
        self.delivered = 0
        self.texts: list[str] = []
        self.tried: set[str] = set()
        self.tries = 0
        self.caller_gone = False

    def accept(self, chunk: completion.Chunk) -> bool:
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
        self.delivered += 1
        choice = chunk.choices[0]
        self.texts.append(choice.delta.content or choice.text)
        return True
