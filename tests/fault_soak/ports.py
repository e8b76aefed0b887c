"""Loopback ports that no outgoing connection is given."""

from __future__ import annotations

import itertools
import os

from steps import platform_world

from galenavane.net import address

FIRST = 10_000
BLOCKS = 200
PER_BLOCK = 100
"""Ports of one run; all blocks lie below the range that the kernel gives to connections."""
_numbers = itertools.count()


def free_address() -> address.Address:
    """Return an address of this process's block."""
    number = next(_numbers) % PER_BLOCK
    return address.Address(platform_world.HOST, FIRST + os.getpid() % BLOCKS * PER_BLOCK + number)
