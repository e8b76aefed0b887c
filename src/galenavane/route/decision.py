"""What routing decides about a waiting request."""

from __future__ import annotations

import dataclasses

from galenavane.failure import failure
from galenavane.route import grant as grants


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """A request may be sent to a group."""

    grant: grants.Grant


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """A request gets no group and was not run."""

    request_id: str
    failure: failure.Failure


Decision = Granted | Refused
