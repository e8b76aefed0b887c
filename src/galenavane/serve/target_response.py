"""The head of a target's answer."""

from __future__ import annotations

import msgspec

from galenavane.net import headers


class TargetResponse(msgspec.Struct, frozen=True):
    """What the head of an answer says.

    :ivar headers: what is passed on to the client.
    :ivar is_not_run: the target says that it did not run the request and never will.
    :ivar matches_request: the answer is to this request and not to an earlier one.
    :ivar is_signed: the body that follows is the target's own.
    :ivar faulty_member: the member that a refusal names, or empty.
    """

    status: int
    headers: headers.Headers
    is_not_run: bool
    matches_request: bool
    is_signed: bool
    faulty_member: str
