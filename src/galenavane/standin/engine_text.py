"""Deterministic text of the stand-in engine, so that clients can verify whole answers."""

from __future__ import annotations

import zlib


def make_token(prompt: str, index: int) -> str:
    """Return the token at a zero-based index of the answer to a prompt."""
    checksum = zlib.crc32(prompt.encode()) & 0xFFFF
    return f"{checksum:04x}-{index} "


def make_text(prompt: str, count: int) -> str:
    """Return the whole answer to a prompt with ``count`` tokens."""
    return "".join(make_token(prompt, index) for index in range(count))
