"""Stand-in for a plain service: lookups, jobs that may not be repeated, and a ledger."""

from __future__ import annotations

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import http_server, message, network


class Faults(msgspec.Struct):
    """Switches of the stand-in.

    :ivar slow_seconds: added to every call before it runs.
    :ivar lose_answers: calls run but their answers are lost.
    :ivar refuse: calls are refused before they run.
    """

    slow_seconds: float = 0.0
    lose_answers: bool = False
    refuse: bool = False


class JobRun(msgspec.Struct, frozen=True):
    """One line of the ledger: a job that was run.

    :ivar job: the job's text as its caller sent it.
    :ivar request_id: id under which galenavane sent it.
    """

    job: str
    request_id: str


class _Service:
    """State of the stand-in."""

    __slots__ = ("faults", "ledger", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.ledger: list[JobRun] = []


async def run(
    net: network.Network,
    name: str,
    where: addresses.Address,
    ledger: list[JobRun] | None = None,
    faults: Faults | None = None,
    *,
    task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the plain service until cancelled; a given ledger outlives the process."""
    state = _Service(name)
    state.ledger = state.ledger if ledger is None else ledger
    state.faults = faults or state.faults

    async def handle(exchange: http_server.Exchange) -> None:
        await _handle(state, exchange)

    await net.listen(where, handle, task_status=task_status)


async def _handle(state: _Service, exchange: http_server.Exchange) -> None:
    req = exchange.request
    if req.path == "/faults":
        state.faults = msgspec.json.decode(req.body, type=Faults)
        await exchange.respond(message.json_response(200, state.faults))
        return
    if req.path == "/ledger":
        await exchange.respond(message.json_response(200, state.ledger))
        return
    await trio.sleep(state.faults.slow_seconds)
    if state.faults.refuse:
        refusal = message.json_response(503, {"error": "refused"})
        refusal.headers.add("x-not-run", "1")
        await exchange.respond(refusal)
        return
    response = _make_response(state, req)
    if state.faults.lose_answers:
        await trio.sleep_forever()
    response.headers.add("x-request-id", req.headers.get("x-request-id"))
    await exchange.respond(response)


def _make_response(state: _Service, req: message.Request) -> message.Response:
    if req.method == "POST" and req.path == "/jobs":
        job = req.body.decode("utf-8", "replace")
        state.ledger.append(JobRun(job, req.headers.get("x-request-id")))
        return message.json_response(201, {"job": job, "number": len(state.ledger)})
    if req.method == "GET" and req.path.startswith("/jobs"):
        return message.json_response(200, [entry.job for entry in state.ledger])
    return message.json_response(404, {"error": f"no such path {req.path}"})
