"""A client's parsed request and the options for sending it to a target."""

from __future__ import annotations

import msgspec

from galenavane.net import headers


class InboundRequest(msgspec.Struct, frozen=True):
    """A request as received from the client.

    :ivar id: unique id that the client assigned; a retry by the client has a new one.
    :ivar request_target: path and query.
    :ivar api_key: secret that identifies the client account; empty when none was sent.
    :ivar model: requested model; empty for a plain service.
    :ivar prompt_tokens: prompt length that the client states.
    :ivar answer_tokens: estimated length of the completion.
    :ivar max_answer_tokens: largest length of the completion, 0 if not stated; an event of its
        stream has one token or more.
    :ivar timeout_seconds: how long the client waits for the response.
    :ivar last_event_id: id of the last stream event that the client received; 0 for none.
    :ivar headers: header fields to forward to targets.
    :ivar prompt_parts: ids of the parts of the prompt that other requests may share, in order;
        without the last part, which is the request's own.
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
    prompt_parts: tuple[str, ...] = ()
    max_answer_tokens: int = 0


class SendOptions(msgspec.Struct, frozen=True):
    """Options for sending a request to one target.

    :ivar target_id: the only target that may execute the request.
    :ivar account: name of the client account; empty for none.
    :ivar timeout_seconds: remaining time until the client's deadline.
    :ivar last_event_id: id of the last stream event that the client received; 0 for none.
    :ivar is_resumed: whether the client has already waited at another target.
    """

    target_id: str
    account: str
    timeout_seconds: float
    last_event_id: int
    is_resumed: bool = False
