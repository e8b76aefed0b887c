"""Allocates loopback ports outside the kernel's range for outgoing connections."""

from __future__ import annotations

import itertools
import os
import socket

from steps import platform_world

from galenavane.net import address

FIRST_PORT = 10_000
BLOCK_COUNT = 200
PORTS_PER_BLOCK = 100
"""Ports of one run; all blocks lie below the kernel's range of ephemeral ports."""
_offsets = itertools.count()


def free_address() -> address.Address:
    """Return the next address of this process's block of ports that is not in use.

    Runs whose process ids are a multiple of ``BLOCK_COUNT`` apart share a block, and a run that
    starts many targets comes back to its first ports.
    """
    first_port = FIRST_PORT + os.getpid() % BLOCK_COUNT * PORTS_PER_BLOCK
    for offset in itertools.islice(_offsets, PORTS_PER_BLOCK):
        free = address.Address(platform_world.HOST, first_port + offset % PORTS_PER_BLOCK)
        if _is_free(free):
            return free
    raise RuntimeError(f"no port from {first_port} on is free")


def _is_free(candidate: address.Address) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((candidate.host, candidate.port))
        except OSError:
            return False
    return True
