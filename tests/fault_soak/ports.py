"""Allocates loopback ports outside the kernel's range for outgoing connections."""

from __future__ import annotations

import itertools
import os

from steps import platform_world

from galenavane.net import address

FIRST_PORT = 10_000
BLOCK_COUNT = 200
PORTS_PER_BLOCK = 100
"""Ports of one run; all blocks lie below the kernel's range of ephemeral ports."""
_offsets = itertools.count()


def free_address() -> address.Address:
    """Return the next address of this process's block of ports."""
    offset = next(_offsets) % PORTS_PER_BLOCK
    return address.Address(
        platform_world.HOST, FIRST_PORT + os.getpid() % BLOCK_COUNT * PORTS_PER_BLOCK + offset
    )
