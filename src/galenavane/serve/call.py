"""One client's request, and how it is sent to a target."""

from __future__ import annotations

import msgspec

from galenavane.net import headers


class Call(msgspec.Struct, frozen=True):
    """A request as its client sent it.

    :ivar id: the client's own id of this attempt, unique.
    :ivar target: path with query.
    :ivar key: secret that names the client account, empty without one.
    :ivar model: wanted model, empty for a plain service.
    :ivar answer_tokens: estimate of the answer's length.
    :ivar wait_seconds: how long the client waits.
    :ivar last_event: last event of a stream that the client has; 0 for none.
    :ivar headers: what is passed on to targets.
    """

    id: str
    method: str
    target: str
    host: str
    path: str
    key: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    wait_seconds: float
    last_event: int
    headers: headers.Headers
    body: bytes


class Send(msgspec.Struct, frozen=True):
    """One sending of a call.

    :ivar target_id: the only target that may run it.
    :ivar wait_seconds: time that is left.
    :ivar last_event: last event of the stream that the client has.
    :ivar is_resumed: the client has waited at another target already.
    """

    target_id: str
    account: str
    wait_seconds: float
    last_event: int
    is_resumed: bool = False
