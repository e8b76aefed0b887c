"""Stand-in for a plain service with lookups, non-idempotent jobs and a ledger of job runs."""

from __future__ import annotations

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import http_server, message, network


class Faults(msgspec.Struct):
    """Faults of the service, set by ``POST /faults``.

    :ivar slow_seconds: delay before every call runs.
    :ivar lose_answers: calls run but their responses are lost.
    :ivar refuse: calls are refused before they run.
    """

    slow_seconds: float = 0.0
    lose_answers: bool = False
    refuse: bool = False


class JobRun(msgspec.Struct, frozen=True):
    """Ledger entry for one run of a job.

    :ivar job: text of the job as the caller sent it.
    :ivar request_id: request id that galenavane assigned.
    """

    job: str
    request_id: str


class _Service:
    """State of the service."""

    __slots__ = ("faults", "ledger", "name")

    def __init__(self, name: str) -> None:
        self.name = name
        self.faults = Faults()
        self.ledger: list[JobRun] = []


async def run(
    net: network.Network,
    name: str,
    address: addresses.Address,
    ledger: list[JobRun] | None = None,
    faults: Faults | None = None,
    *,
    task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the plain service until cancelled.

    :param address: where to listen.
    :param ledger: list that job runs are appended to; the caller may pass it to the next process.
    """
    service = _Service(name)
    service.ledger = service.ledger if ledger is None else ledger
    service.faults = faults or service.faults

    async def handle(exchange: http_server.Exchange) -> None:
        await _handle(service, exchange)

    await net.listen(address, handle, task_status=task_status)


async def _handle(service: _Service, exchange: http_server.Exchange) -> None:
    req = exchange.request
    if req.path == "/faults":
        service.faults = msgspec.json.decode(req.body, type=Faults)
        await exchange.respond(message.json_response(200, service.faults))
        return
    if req.path == "/ledger":
        await exchange.respond(message.json_response(200, service.ledger))
        return
    await trio.sleep(service.faults.slow_seconds)
    if service.faults.refuse:
        refusal = message.json_response(503, {"error": "refused"})
        refusal.headers.add("x-not-run", "1")
        await exchange.respond(refusal)
        return
    response = _make_response(service, req)
    if service.faults.lose_answers:
        await trio.sleep_forever()
    response.headers.add("x-request-id", req.headers.get("x-request-id"))
    await exchange.respond(response)


def _make_response(service: _Service, req: message.Request) -> message.Response:
    if req.method == "POST" and req.path == "/jobs":
        job = req.body.decode("utf-8", "replace")
        service.ledger.append(JobRun(job, req.headers.get("x-request-id")))
        return message.json_response(201, {"job": job, "number": len(service.ledger)})
    if req.method == "GET" and req.path.startswith("/jobs"):
        return message.json_response(200, [job_run.job for job_run in service.ledger])
    return message.json_response(404, {"error": f"no such path {req.path}"})
