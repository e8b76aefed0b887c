"""Destination of the requests of a load."""

from __future__ import annotations

import dataclasses

from galenavane.net import address as addresses
from galenavane.net import headers as header_lists


@dataclasses.dataclass(slots=True, frozen=True)
class Destination:
    """An entry, or the leader of a group when engines are called directly.

    :ivar group: name of the group that the leader leads, empty for an entry.
    :ivar epoch: epoch of that group.
    """

    address: addresses.Address
    group: str = ""
    epoch: int = 0

    def make_headers(self, api_key: str, number: int) -> header_lists.Headers:
        """Return the header fields of a request.

        :param api_key: bearer key of the client account, used for entries only.
        :param number: number of the request, used in request ids for leaders only.
        """
        headers = header_lists.Headers().add("content-type", "application/json")
        if not self.group:
            return headers.add("authorization", f"Bearer {api_key}")
        headers.add("x-request-id", f"direct-{number}")
        return headers.add("x-group", self.group).add("x-epoch", str(self.epoch))
