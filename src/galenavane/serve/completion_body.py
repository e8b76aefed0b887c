"""Body of a completion request, with every field that its engine may understand."""

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
    """A checked request body.

    :ivar fields: each field as it was sent.
    """

    request: completion.CompletionRequest
    fields: dict[str, msgspec.Raw]

    def hash_request(self, path: str) -> str:
        """Return a hash that a resumed request has to share."""
        hashed_fields = {name: value for name, value in self.fields.items() if name != _RESUME_TEXT}
        text = path.encode() + b"\n" + msgspec.json.encode(hashed_fields, order="sorted")
        return hashlib.sha256(text).hexdigest()

    def encode_for_target(self, delivered_text: str) -> bytes:
        """Return the body for an engine, which goes on after the text already delivered."""
        fields = dict(self.fields)
        fields["stream"] = msgspec.Raw(b"true")
        text = self.request.resume_text + delivered_text
        if text:
            fields[_RESUME_TEXT] = msgspec.Raw(msgspec.json.encode(text))
        return msgspec.json.encode(fields)


def parse(body: bytes) -> expression.Result[CompletionBody, failure.Failure]:
    """Parse and check a body."""
    try:
        request = msgspec.json.decode(body, type=completion.CompletionRequest)
        fields = msgspec.json.decode(body, type=dict[str, msgspec.Raw])
    except msgspec.DecodeError as exc:
        return expression.Error(failure.Failure(codes.Code.BAD_REQUEST, str(exc)))
    copied = {name: msgspec.Raw(bytes(value)) for name, value in fields.items()}
    return expression.Ok(CompletionBody(request, copied))
