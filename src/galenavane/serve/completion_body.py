"""Parses bodies of completion requests and keeps fields that only engines know."""

from __future__ import annotations

import dataclasses
import hashlib

import expression
import msgspec

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.target import completion

_RESUME_TEXT = "resume_text"


@dataclasses.dataclass(slots=True, frozen=True)
class CompletionBody:
    """A validated request body.

    :ivar request: the fields that this entry uses.
    :ivar fields: raw JSON of every field, including unknown ones.
    """

    request: completion.CompletionRequest
    fields: dict[str, msgspec.Raw]

    def hash_request(self, path: str) -> str:
        """Return a hash of path and body that stays the same when a stream is resumed."""
        hashed_fields = {name: value for name, value in self.fields.items() if name != _RESUME_TEXT}
        text = path.encode() + b"\n" + msgspec.json.encode(hashed_fields, order="sorted")
        return hashlib.sha256(text).hexdigest()

    def encode_for_target(self, delivered_text: str) -> bytes:
        """Return the body to send to an engine, which continues after the delivered text.

        :param delivered_text: text that this entry has delivered to the caller.
        """
        fields = dict(self.fields)
        fields["stream"] = msgspec.Raw(b"true")
        text = self.request.resume_text + delivered_text
        if text:
            fields[_RESUME_TEXT] = msgspec.Raw(msgspec.json.encode(text))
        return msgspec.json.encode(fields)


def parse(body: bytes) -> expression.Result[CompletionBody, failure.Failure]:
    """Parse and validate a body.

    :returns: the body, or the failure ``BAD_REQUEST``.
    """
    try:
        request = msgspec.json.decode(body, type=completion.CompletionRequest)
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError as exc:
        return expression.Error(failure.Failure(codes.Code.BAD_REQUEST, str(exc)))
    copied = {name: msgspec.Raw(bytes(value)) for name, value in fields.items()}
    return expression.Ok(CompletionBody(request, copied))
