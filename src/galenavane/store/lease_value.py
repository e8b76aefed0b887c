"""Value of a data centre's lease object in the platform."""

from __future__ import annotations

import msgspec


class LeaseValue(msgspec.Struct, frozen=True):
    """Holder of the lease, which may control the targets of the data centre.

    :ivar holder: name of the entry, empty after a release.
    :ivar incarnation: incarnation of the holder.
    :ivar token: fencing token; increases with every new holder.
    :ivar renewal: increases with every write attempt, so that no two written values are equal.
    """

    holder: str
    incarnation: str
    token: int
    renewal: int
