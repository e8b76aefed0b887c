"""Completion requests, chunks and responses that callers and engines exchange.

An engine is the program on a target that serves a model, together with the engines of the other
members of its group.
"""

from __future__ import annotations

import typing

import msgspec

DEFAULT_MAX_TOKENS = 64


class ChatMessage(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionRequest(msgspec.Struct, frozen=True):
    """Body of ``/v1/completions`` and ``/v1/chat/completions``.

    :ivar model: model name, or ``model:adapter``.
    :ivar n: number of choices; only one is served.
    :ivar resume_text: text of the tokens before the offset at which the answer is resumed; the
        offset is in the header ``x-resume-offset``.
    """

    model: str
    prompt: str = ""
    messages: list[ChatMessage] = []
    max_tokens: typing.Annotated[int, msgspec.Meta(ge=1)] = DEFAULT_MAX_TOKENS
    stream: bool = False
    n: typing.Annotated[int, msgspec.Meta(ge=1, le=1)] = 1
    resume_text: str = ""

    def prompt_text(self) -> str:
        """Return the whole prompt as one string."""
        if self.messages:
            return "\n".join(f"{message.role}: {message.content}" for message in self.messages)
        return self.prompt


class Delta(msgspec.Struct, frozen=True, gc=False):
    """New text of a chunk."""

    content: str = ""


class ChunkChoice(msgspec.Struct, frozen=True):
    """The only choice of a chunk.

    :ivar text: new text for ``/v1/completions``.
    :ivar delta: new text for ``/v1/chat/completions``.
    """

    index: int = 0
    delta: Delta = Delta()
    text: str = ""
    finish_reason: str | None = None


class Usage(msgspec.Struct, frozen=True, gc=False):
    """Token counts of one request."""

    prompt_tokens: int = 0
    completion_tokens: int = 0
    total_tokens: int = 0


class PartialChoice(msgspec.Struct, frozen=True, gc=False):
    """The fields of a chunk's choice that an entry decodes."""

    delta: Delta = Delta()
    text: str = ""
    finish_reason: str | None = None


class PartialChunk(msgspec.Struct, frozen=True, gc=False):
    """The fields of a chunk that an entry decodes; the others are relayed as they are."""

    id: str
    offset: int
    choices: list[PartialChoice] = []
    usage: Usage | None = None


class Chunk(msgspec.Struct, frozen=True):
    """One server-sent event of a stream.

    :ivar id: id of the request that the chunk belongs to.
    :ivar offset: index of the chunk's token in the answer, from 0.
    :ivar object: type of the event, as in the OpenAI API.
    :ivar usage: token counts, on the last chunk of engines that report them.
    """

    id: str
    offset: int
    choices: list[ChunkChoice]
    object: str = "text_completion"
    created: int = 0
    model: str = ""
    usage: Usage | None = None


class TextChoice(msgspec.Struct, frozen=True):
    """The only choice of a response to ``/v1/completions``."""

    text: str
    finish_reason: str
    index: int = 0


class ChatChoice(msgspec.Struct, frozen=True):
    """The only choice of a response to ``/v1/chat/completions``."""

    message: ChatMessage
    finish_reason: str
    index: int = 0


class CompletionResponse(msgspec.Struct, frozen=True):
    """A complete response that is not streamed."""

    id: str
    object: str
    created: int
    model: str
    choices: list[TextChoice] | list[ChatChoice]
    usage: Usage
