"""Hashes of prompt prefixes, as engines publish them."""

from __future__ import annotations

import zlib

BLOCK_CHARACTERS = 64


def hash_blocks(prompt: str) -> list[int]:
    """Return the hash of each whole block of a prompt, chained from the start."""
    hashes = []
    crc = 0
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        crc = zlib.crc32(prompt[end - BLOCK_CHARACTERS : end].encode(), crc)
        hashes.append(crc)
    return hashes
