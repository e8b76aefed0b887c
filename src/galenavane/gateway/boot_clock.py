"""Clock that keeps counting while the machine is suspended."""

from __future__ import annotations

import time


def now() -> float:
    """Return the seconds since boot, including suspended time."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
