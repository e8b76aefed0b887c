"""A clock that also counts the time in which the machine was suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return seconds since the machine was started."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
