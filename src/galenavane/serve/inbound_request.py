"""One client's request, and how it is sent to a target."""

from __future__ import annotations

import msgspec

from galenavane.net import headers


class InboundRequest(msgspec.Struct, frozen=True):
    """A request as its client sent it.

    :ivar id: the client's own id of this attempt, unique.
    :ivar request_target: path with query.
    :ivar api_key: secret that names the client account, empty without one.
    :ivar model: wanted model, empty for a plain service.
    :ivar answer_tokens: estimate of the answer's length.
    :ivar timeout_seconds: how long the client waits.
    :ivar last_event_id: last event of a stream that the client has; 0 for none.
    :ivar headers: what is passed on to targets.
    """

    id: str
    method: str
    request_target: str
    host: str
    path: str
    api_key: str
    model: str
    prompt_tokens: int
    answer_tokens: int
    timeout_seconds: float
    last_event_id: int
    headers: headers.Headers
    body: bytes


class SendOptions(msgspec.Struct, frozen=True):
    """One sending of a call.

    :ivar target_id: the only target that may run it.
    :ivar timeout_seconds: time that is left.
    :ivar last_event_id: last event of the stream that the client has.
    :ivar is_resumed: the client has waited at another target already.
    """

    target_id: str
    account: str
    timeout_seconds: float
    last_event_id: int
    is_resumed: bool = False
