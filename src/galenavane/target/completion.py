"""Completion requests and chunks, as callers and engines exchange them."""

from __future__ import annotations

import msgspec

DEFAULT_MAX_TOKENS = 64


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of ``/v1/completions`` and ``/v1/chat/completions``.

    :ivar model: model name, or ``model:adapter``.
    """

    model: str
    prompt: str = ""
    messages: list[ChatMessage] = []
    max_tokens: int = DEFAULT_MAX_TOKENS
    stream: bool = False

    def text(self) -> str:
        """Return the whole prompt as one text."""
        if self.messages:
            return "\n".join(f"{one.role}: {one.content}" for one in self.messages)
        return self.prompt


class Delta(msgspec.Struct, frozen=True):
    """New text of a chunk."""

    content: str = ""


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk.

    :ivar text: new text for ``/v1/completions``.
    :ivar delta: the same for ``/v1/chat/completions``.
    """

    index: int = 0
    delta: Delta = Delta()
    text: str = ""
    finish_reason: str | None = None


class Chunk(msgspec.Struct, frozen=True):
    """One server-sent event of a stream.

    :ivar id: the request that the chunk belongs to.
    :ivar offset: number of the chunk's token in the answer, from 0.
    """

    id: str
    offset: int
    choices: list[ChunkChoice]
