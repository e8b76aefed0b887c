"""The table of result codes, from which ``docs/errors.md`` is rendered."""

from __future__ import annotations

import msgspec

from galenavane.failure import code as codes

_C = codes.Code


class Row(msgspec.Struct, frozen=True):
    """What a code means to the caller.

    :ivar status: HTTP status, 0 where the code is not an HTTP answer.
    :ivar meaning: what happened.
    :ivar run: whether the request was run: no, perhaps or yes.
    :ivar action: what the caller should do.
    """

    status: int
    meaning: str
    run: str
    action: str


ROWS: dict[codes.Code, Row] = {
    _C.BAD_REQUEST: Row(400, "the request is malformed", "no", "correct it"),
    _C.UNKNOWN_ACCOUNT: Row(401, "the bearer key belongs to no account", "no", "use a valid key"),
    _C.UNKNOWN_MODEL: Row(404, "the preset in force runs no such model", "no", "see /v1/models"),
    _C.UNKNOWN_SERVICE: Row(404, "no such service is declared", "no", "correct the path"),
    _C.BODY_TOO_LARGE: Row(413, "the body or head is over the limit", "no", "send less"),
    _C.BAD_RESUME_TOKEN: Row(400, "the resume token is not valid", "no", "start a new request"),
    _C.KEY_REUSED: Row(
        422, "the idempotency key was used with another body", "no", "use a new key"
    ),
    _C.NO_SUCH_PATH: Row(404, "the path or method is not served", "no", "correct the path"),
    _C.REQUEST_TIMEOUT: Row(408, "the request did not arrive in time", "no", "send it again"),
    _C.NO_GROUP: Row(
        503, "no complete group serves the model", "no", "retry after the stated time"
    ),
    _C.QUEUE_FULL: Row(503, "the queue is full", "no", "retry after the stated time"),
    _C.DEADLINE: Row(504, "the predicted wait exceeds the deadline", "no", "retry later"),
    _C.ACCOUNT_LIMIT: Row(
        429, "the account is over its limit", "no", "retry after the stated time"
    ),
    _C.LEAVING: Row(503, "this entry is stopping", "no", "retry at another entry"),
    _C.NO_CONFIGURATION: Row(503, "this entry has no configuration yet", "no", "retry elsewhere"),
    _C.RETRY_BUDGET: Row(503, "the service's retries are used up", "no", "retry later"),
    _C.PROMPT_BLOCKED: Row(
        503,
        "requests with one part of this prompt have crashed targets",
        "no",
        "change the prompt: a repeat is refused while the part is blocked",
    ),
    _C.MEMORY_FULL: Row(
        503, "the entry's memory for bodies is in use", "no", "retry after the stated time"
    ),
    _C.TARGET_UNREACHABLE: Row(503, "no connection to the target", "no", "retry"),
    _C.TARGET_REFUSED: Row(503, "the target refused the request before running it", "no", "retry"),
    _C.TARGET_LOST: Row(
        502,
        "the connection broke after the request was sent",
        "perhaps",
        "check whether it ran, then retry",
    ),
    _C.TARGET_SILENT: Row(
        504, "the target stopped responding", "perhaps", "check whether it ran, then retry"
    ),
    _C.TARGET_FAILED: Row(502, "the target ran the request and failed", "yes", "see the message"),
    _C.WRONG_ANSWER: Row(502, "the response belonged to another request", "perhaps", "report it"),
    _C.IN_PROGRESS: Row(
        409, "a request with the same key is running", "perhaps", "retry with the same key"
    ),
    _C.OUTCOME_UNKNOWN: Row(
        502, "the outcome of an earlier run is unknown", "perhaps", "check whether it ran"
    ),
    _C.ANSWER_NOT_KEPT: Row(
        410, "answered earlier; the response was too large to keep", "yes", "look up the result"
    ),
    _C.CALLER_GONE: Row(0, "the caller closed its connection", "perhaps", "resume or repeat it"),
    _C.PLATFORM_DOWN: Row(503, "the platform can't be reached", "no", "retry later"),
    _C.PLATFORM_CONFLICT: Row(409, "another write came first", "no", "read, then write again"),
    _C.PLATFORM_UNKNOWN: Row(503, "the response to a write was lost", "perhaps", "read it back"),
    _C.PLATFORM_REFUSED: Row(503, "the platform refused the call", "no", "retry later"),
    _C.VALUE_TOO_LARGE: Row(413, "a value is over 1 MB", "no", "send less"),
    _C.OBJECT_DAMAGED: Row(
        0, "a configuration object of the platform is damaged", "no", "apply the declarations again"
    ),
    _C.OBJECT_MISSING: Row(0, "the platform has no such object", "no", "create it"),
    _C.HISTORY_GONE: Row(0, "the platform no longer has the requested changes", "no", "list again"),
    _C.STALE_TOKEN: Row(
        409, "the fencing token is outdated", "no", "none: a newer lease holder is active"
    ),
    _C.BAD_SETTING: Row(0, "a setting of the process is invalid", "no", "correct the file"),
    _C.BAD_DECLARATION: Row(0, "a declaration is invalid", "no", "correct the file"),
    _C.FILE_MISSING: Row(0, "a file does not exist", "no", "correct the path"),
    _C.NOT_ACCEPTED: Row(0, "the configuration was not accepted", "no", "see the message"),
    _C.INTERNAL: Row(502, "a defect in galenavane", "perhaps", "report it with the request id"),
}


def render_page() -> str:
    """Return the text of ``docs/errors.md``."""
    head = [
        "# Result codes",
        "",
        "Every error that a caller or operator sees carries one of these numbers. *Run* says",
        "whether the request was run: only `no` makes a repeat safe for a non-idempotent request.",
        "",
        "| code | name | HTTP | meaning | run | what to do |",
        "| --- | --- | --- | --- | --- | --- |",
    ]
    rows = [_render_row(code, row) for code, row in ROWS.items()]
    return "\n".join(head + rows) + "\n"


def _render_row(code: codes.Code, row: Row) -> str:
    status = str(row.status) if row.status else "-"
    cells = [str(code.value), code.name, status, row.meaning, row.run, row.action]
    return f"| {' | '.join(cells)} |"
