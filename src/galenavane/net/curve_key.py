"""CURVE keys that encrypt messages between entries."""

from __future__ import annotations

import zmq

SECRET_CHARACTERS = 40


class CurveKey:
    """A CURVE key pair, whose ``repr`` omits the secret.

    :ivar public: public key in Z85.
    :ivar secret: secret key in Z85.
    """

    __slots__ = ("public", "secret")

    def __init__(self, secret: bytes, public: bytes) -> None:
        self.secret = secret
        self.public = public

    def __repr__(self) -> str:
        """Return a text with the public key only."""
        return f"CurveKey({self.public.decode()})"


def parse(text: str) -> CurveKey:
    """Derive a key pair from its secret key.

    :raises ValueError: when the secret is not 40 characters of Z85; the message omits the secret.
    """
    if len(text) != SECRET_CHARACTERS:
        raise ValueError(f"a key has {len(text)} characters, not {SECRET_CHARACTERS}")
    try:
        return CurveKey(text.encode(), zmq.curve_public(text.encode()))
    except (zmq.ZMQError, ValueError):
        raise ValueError("a key is not in Z85") from None


def check_list(text: str) -> str:
    """Validate a space-separated list of secret keys.

    :returns: the text unchanged.
    :raises ValueError: when an item is not a secret key.
    """
    for word in text.split():
        parse(word)
    return text


def generate() -> str:
    """Return a new random secret key."""
    return zmq.curve_keypair()[1].decode()
