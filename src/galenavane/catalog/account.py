"""One client account of the configuration."""

from __future__ import annotations

import msgspec


class Account(msgspec.Struct, frozen=True):
    """A client account.

    :ivar priority: goes before the route's, 0 is most urgent; ``None`` leaves the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
