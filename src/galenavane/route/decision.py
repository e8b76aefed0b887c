"""Decisions of the router about a request."""

from __future__ import annotations

import dataclasses

from galenavane.failure import failure
from galenavane.route import grant as grants


@dataclasses.dataclass(slots=True, frozen=True)
class Granted:
    """The request may be sent to a group."""

    grant: grants.Grant


@dataclasses.dataclass(slots=True, frozen=True)
class Refused:
    """The request was refused and not run."""

    request_id: str
    failure: failure.Failure


Decision = Granted | Refused
