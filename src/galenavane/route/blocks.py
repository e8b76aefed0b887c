"""Hashes the prefix blocks of prompts in the same way as the engines."""

from __future__ import annotations

import zlib

BLOCK_CHARACTERS = 64


def hash_blocks(prompt: str) -> list[int]:
    """Return the hash of each complete block of a prompt, chained with the blocks before it."""
    hashes = []
    crc = 0
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        crc = zlib.crc32(prompt[end - BLOCK_CHARACTERS : end].encode(), crc)
        hashes.append(crc)
    return hashes
