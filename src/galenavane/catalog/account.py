"""A client account of the configuration."""

from __future__ import annotations

import msgspec


class Account(msgspec.Struct, frozen=True):
    """A client account.

    :ivar keys: API keys of the account.
    :ivar priority: overrides the route's priority, 0 is most urgent; ``None`` keeps the route's.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None
