"""The stand-in engine's answers, which a load tool can check."""

from __future__ import annotations

import zlib


def make_token(prompt: str, index: int) -> str:
    """Return the token at an index of the answer to a prompt."""
    checksum = zlib.crc32(prompt.encode()) & 0xFFFF
    return f"{checksum:04x}-{index} "


def make_text(prompt: str, count: int) -> str:
    """Return a whole answer of a number of tokens."""
    return "".join(make_token(prompt, index) for index in range(count))
