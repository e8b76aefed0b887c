"""``galenavane keys``."""

from __future__ import annotations

from galenavane.net import curve_key


def keys() -> int:
    """Print a new secret key for the setting "keys" in section "peers"."""
    print(curve_key.generate())
    return 0
