"""Converts request and response headers from and to the platform's wire format."""

from __future__ import annotations

import math

from galenavane.net import headers as header_lists
from galenavane.net import message
from galenavane.serve import inbound_request, target_response

# Id of a request; a retry by the client has a new one.
_REQUEST_ID = "attempt-id"
# Remaining time, not a point in time.
_DEADLINE = "deadline-ms"
_NO_DEADLINE_MS = 60_000.0
# Id of the only target that may execute the request; others respond with 421.
EXPECTED_TARGET = "expect-replica"
# Name of the client account, sent to targets only; clients send their key instead.
_ACCOUNT = "tenant"
_KEY = "authorization"
_MODEL = "model"
_TOKEN_USAGE = "token-usage"
# Parts of the prompt, as ID:TOKENS separated by commas; the last one is the request's own.
_PROMPT_PARTS = "prompt-prefix"
_MAX_PROMPT_PARTS = 64
_MAX_PART_CHARACTERS = 128
_LENGTH_HINT = "length-hint"
_LAST_EVENT = "last-event-id"
_MAX_EVENT_DIGITS = 18
# Present when the target itself produced the response body.
_SIGNATURE = "replica-signature"
# Present on a refusal: the request was not executed and never will be.
_NOT_RUN = "not-executed"
# Id of the group member because of which the head refuses a request.
_FAULTY_MEMBER = "at-server"
_PRIORITY = "request-priority"
# "1" in each answer of a target that leaves.
_LEAVING = "server-leaving"
_BEARER = "bearer "
_HIGHEST_PRIORITY = "0"
"""Range 0 (admitted first) to 9; requests without the field have 5."""

# Fields that only the system sets; values from the client are dropped.
_RESERVED_FIELDS = frozenset(
    name.encode()
    for name in (
        _DEADLINE,
        EXPECTED_TARGET,
        _ACCOUNT,
        _KEY,
        _PRIORITY,
        "content-length",
    )
)


def decode(req: message.Request) -> inbound_request.InboundRequest:
    """Decode a client's request."""
    fields = req.headers
    prompt_tokens, _, max_answer_tokens = fields.get(_TOKEN_USAGE).partition(",")
    key = fields.get(_KEY)
    is_bearer = key.lower().startswith(_BEARER)
    timeout_ms = _parse_number(fields.get(_DEADLINE))
    length_hint = _parse_number(fields.get(_LENGTH_HINT))
    max_tokens = int(_parse_number(max_answer_tokens) or 0)
    return inbound_request.InboundRequest(
        id=fields.get(_REQUEST_ID),
        method=req.method,
        request_target=req.target,
        host=fields.get("host").partition(":")[0].lower(),
        path=req.path,
        api_key=key[len(_BEARER) :].strip() if is_bearer else "",
        model=fields.get(_MODEL),
        prompt_tokens=int(_parse_number(prompt_tokens) or 0),
        answer_tokens=int(length_hint) if length_hint is not None else max_tokens,
        max_answer_tokens=max_tokens,
        timeout_seconds=max(0.0, timeout_ms if timeout_ms is not None else _NO_DEADLINE_MS) / 1000,
        last_event_id=_parse_event_id(fields.get(_LAST_EVENT)),
        headers=fields.end_to_end().without(_RESERVED_FIELDS),
        body=req.body,
        prompt_parts=_parse_parts(fields.get(_PROMPT_PARTS)),
    )


def make_target_headers(
    inbound: inbound_request.InboundRequest, options: inbound_request.SendOptions
) -> header_lists.Headers:
    """Return the header fields for sending a request to a target."""
    fields = header_lists.Headers(inbound.headers.pairs)
    fields.add(_DEADLINE, str(max(1, int(options.timeout_seconds * 1000))))
    fields.add(EXPECTED_TARGET, options.target_id)
    if options.account:
        fields.add(_ACCOUNT, options.account)
    # The client's own value, which may be any text, holds until the system goes on after it.
    if options.last_event_id != inbound.last_event_id:
        fields = fields.without({_LAST_EVENT.encode()})
        fields.add(_LAST_EVENT, str(options.last_event_id))
    if options.is_resumed:
        fields.add(_PRIORITY, _HIGHEST_PRIORITY)
    if inbound.body or inbound.method in ("POST", "PUT", "PATCH"):
        fields.add("content-length", str(len(inbound.body)))
    return fields


def decode_response(
    inbound: inbound_request.InboundRequest, head: message.Response
) -> target_response.TargetResponse:
    """Decode the head of a target's response.

    :param inbound: the request that was sent.
    """
    fields = head.headers
    is_refusal = head.status == 421 or (head.status >= 400 and bool(fields.get(_NOT_RUN)))
    is_encoded = fields.get("content-encoding").lower() not in ("", "identity")
    return target_response.TargetResponse(
        status=head.status,
        headers=fields.end_to_end(),
        is_not_run=is_refusal,
        # A refusal may lack the id, which is safe since each request has its own connection.
        matches_request=fields.get(_REQUEST_ID, inbound.id) == inbound.id,
        is_signed=bool(fields.get(_SIGNATURE)) and not is_encoded,
        faulty_member=fields.get(_FAULTY_MEMBER),
        notice=decode_notice(head),
        media_type=fields.get("content-type").partition(";")[0].strip().lower(),
    )


def decode_notice(head: message.Response) -> target_response.Notice:
    """Decode what a target's answer to anything says about further requests."""
    wait_seconds = 0.0
    if head.status == 503:
        wait_seconds = max(0.0, _parse_number(head.headers.get("retry-after")) or 0.0)
    return target_response.Notice(head.headers.get(_LEAVING).strip() == "1", wait_seconds)


def _parse_parts(text: str) -> tuple[str, ...]:
    """Return the ids of all parts but the last, up to a limit; none for a malformed list.

    An id of more characters than the limit is malformed, since ids are kept and sent to peers.
    """
    parts = [item.partition(":")[0].strip().lower() for item in text.split(",")]
    if not all(0 < len(part) <= _MAX_PART_CHARACTERS for part in parts):
        return ()
    return tuple(dict.fromkeys(parts[:-1]))[:_MAX_PROMPT_PARTS]


def _parse_event_id(text: str) -> int:
    """Parse the number of an event exactly; return 0 for any other text."""
    is_number = text.isascii() and text.isdigit() and len(text) <= _MAX_EVENT_DIGITS
    return int(text) if is_number else 0


def _parse_number(text: str) -> float | None:
    """Parse a finite number; return ``None`` for any other text."""
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) else None
