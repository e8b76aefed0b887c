"""Keys that encrypt messages between entries."""

from __future__ import annotations

import zmq

SECRET_CHARACTERS = 40


class CurveKey:
    """A CURVE key pair; its text never shows the secret."""

    __slots__ = ("public", "secret")

    def __init__(self, secret: bytes, public: bytes) -> None:
        self.secret = secret
        self.public = public

    def __repr__(self) -> str:
        """Return the public half only."""
        return f"CurveKey({self.public.decode()})"


def parse(text: str) -> CurveKey:
    """Build a key pair from its secret.

    :raises ValueError: when it is not a Z85 text of 40 characters; the secret is not in the error.
    """
    if len(text) != SECRET_CHARACTERS:
        raise ValueError(f"a key has {len(text)} characters, not {SECRET_CHARACTERS}")
    try:
        return CurveKey(text.encode(), zmq.curve_public(text.encode()))
    except (zmq.ZMQError, ValueError):
        raise ValueError("a key is not in Z85") from None


def check_list(text: str) -> str:
    """Check keys that are separated by spaces, and return the text.

    :raises ValueError: when one of them is not a key.
    """
    for word in text.split():
        parse(word)
    return text


def generate() -> str:
    """Return a new secret."""
    return zmq.curve_keypair()[1].decode()
