"""The interpreted head of a target's response."""

from __future__ import annotations

import msgspec

from galenavane.net import headers


class Notice(msgspec.Struct, frozen=True):
    """What a target's answer says about further requests.

    :ivar is_leaving: whether it leaves, so that nothing new may be sent to it.
    :ivar wait_seconds: how long it asks to be left alone, 0 if it doesn't.
    """

    is_leaving: bool = False
    wait_seconds: float = 0.0


class TargetResponse(msgspec.Struct, frozen=True):
    """What the head of a target's response states.

    :ivar headers: header fields to forward to the client.
    :ivar is_not_run: whether the target did not execute the request and never will.
    :ivar matches_request: whether the response is for this request and not for an earlier one.
    :ivar is_signed: whether the body was produced by the target itself.
    :ivar notice: what it says about further requests.
    :ivar media_type: of the body, without parameters; empty if not stated.
    :ivar faulty_member: group member to which a refusal is attributed; empty for none.
    """

    status: int
    headers: headers.Headers
    is_not_run: bool
    matches_request: bool
    is_signed: bool
    faulty_member: str
    media_type: str = ""
    notice: Notice = Notice()
