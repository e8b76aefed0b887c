"""Signs and verifies tokens with which callers resume a stream on any entry."""

from __future__ import annotations

import base64
import binascii
import hashlib
import hmac

import expression
import msgspec

from galenavane.failure import code as codes
from galenavane.failure import failure

LIFETIME_SECONDS = 600.0
_DIGEST_BYTES = hashlib.sha256().digest_size


class ResumeToken(msgspec.Struct, frozen=True):
    """Identity of a stream, for an entry that did not start it.

    :ivar version: version of the model; another one must not continue the completion.
    :ivar body_hash: hash of the request, which must be resent unchanged.
    :ivar expires_at: wall clock time in seconds.
    """

    request_id: str
    account: str
    version: str
    body_hash: str
    expires_at: float


def sign(key: str, token: ResumeToken) -> str:
    """Return a token as URL-safe text, with its HMAC."""
    content = msgspec.json.encode(token)
    return base64.urlsafe_b64encode(_sign_content(key, content) + content).decode()


def verify(
    key: str, text: str, wall_seconds: float
) -> expression.Result[ResumeToken, failure.Failure]:
    """Check the signature and the expiry time of a token.

    :param wall_seconds: wall clock time in seconds.
    :returns: the token, or the failure ``BAD_RESUME_TOKEN``.
    """
    if not key:
        return expression.Error(_make_failure("resuming is disabled: no resume key is configured"))
    try:
        decoded = base64.urlsafe_b64decode(text)
    except (ValueError, binascii.Error):
        return expression.Error(_make_failure("the resume token is not valid Base64"))
    content = decoded[_DIGEST_BYTES:]
    if not hmac.compare_digest(decoded[:_DIGEST_BYTES], _sign_content(key, content)):
        return expression.Error(_make_failure("the resume token has an invalid signature"))
    token = msgspec.json.decode(content, type=ResumeToken)
    if wall_seconds > token.expires_at:
        return expression.Error(_make_failure("the resume token has expired"))
    return expression.Ok(token)


def _sign_content(key: str, content: bytes) -> bytes:
    return hmac.digest(key.encode(), content, "sha256")


def _make_failure(text: str) -> failure.Failure:
    return failure.Failure(codes.Code.BAD_RESUME_TOKEN, text)
