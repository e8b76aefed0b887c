"""The lease of a data centre as it is kept in the platform."""

from __future__ import annotations

import msgspec


class LeaseValue(msgspec.Struct, frozen=True):
    """Who may control the targets of a data centre.

    :ivar holder: name of the entry, empty when the lease was given up.
    :ivar incarnation: the entry's incarnation.
    :ivar token: fencing token; grows by one with every new holder.
    :ivar renewal: grows with every attempt to write, so that no two writes are alike.
    """

    holder: str
    incarnation: str
    token: int
    renewal: int
