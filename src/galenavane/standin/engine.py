"""Stand-in for the engine of one group member: commands, completions and reports over HTTP."""

from __future__ import annotations

import urllib.parse
from collections import abc

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import headers as header_lists
from galenavane.net import http_server, message, network
from galenavane.observe import events
from galenavane.standin import engine_batch, engine_faults, engine_state, engine_text
from galenavane.target import client, command, completion

HEARTBEAT_INTERVAL_SECONDS = 0.4
LOAD_SAMPLE_INTERVAL_SECONDS = 0.1
CALL_TIMEOUT_SECONDS = 1.0


class _Blocks(msgspec.Struct, frozen=True):
    """Body of a KV cache export or import: block hashes, least recently used first."""

    blocks: list[int]


class _Engine:
    """State of one engine.

    :ivar streams: cancel scope of each running completion by request id.
    """

    __slots__ = ("batch", "state", "streams")

    def __init__(self, name: str, parameters: engine_faults.Parameters, incarnation: str) -> None:
        self.state = engine_state.State(name, parameters, incarnation)
        self.batch = engine_batch.Batch(parameters)
        self.streams: dict[str, trio.CancelScope] = {}

    def compute_token_seconds(self) -> float:
        """Return the seconds that one decoding step takes, with the straggler fault applied."""
        return self.state.parameters.token_seconds * self.state.faults.slow_factor


async def run(
    net: network.Network,
    name: str,
    address: addresses.Address,
    parameters: engine_faults.Parameters,
    faults: engine_faults.Faults,
    incarnation: str,
    on_start: abc.Callable[[engine_state.State], None] | None = None,
    *,
    task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve as one group member until cancelled.

    :param address: where to listen.
    :param incarnation: id of this start; commands for another incarnation are refused.
    :param on_start: called once with the member's state, which tests and checkers read.
    """
    engine = _Engine(name, parameters, incarnation)
    engine.state.faults = faults
    if on_start is not None:
        on_start(engine.state)

    async def handle(exchange: http_server.Exchange) -> None:
        await _handle(engine, exchange)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(_poll_members, net, engine)
        nursery.start_soon(_sample_load, engine)
        await net.listen(address, handle, task_status=task_status)


async def _poll_members(net: network.Network, engine: _Engine) -> None:
    target_client = client.make(net, CALL_TIMEOUT_SECONDS)
    state = engine.state

    async def poll_member(peer: command.Peer) -> None:
        report_result = await target_client.fetch_report(peer.address)
        if report_result.is_ok():
            state.record_report(peer, report_result.ok, trio.current_time())

    while True:
        if state.rank == 0:
            async with trio.open_nursery() as nursery:
                for peer in state.peers[1:]:
                    nursery.start_soon(poll_member, peer)
        await trio.sleep(HEARTBEAT_INTERVAL_SECONDS)


async def _sample_load(engine: _Engine) -> None:
    while True:
        load = engine.batch.measure_load(engine.compute_token_seconds())
        engine.batch.load_samples.append((trio.current_time(), load))
        await trio.sleep(LOAD_SAMPLE_INTERVAL_SECONDS)


async def _handle(engine: _Engine, exchange: http_server.Exchange) -> None:
    req = exchange.request
    if req.path in ("/v1/completions", "/v1/chat/completions"):
        await _serve_completion(engine, exchange)
        return
    await exchange.respond(_make_response(engine, req))


def _make_response(engine: _Engine, req: message.Request) -> message.Response:
    state = engine.state
    now = trio.current_time()
    if req.path == "/v1/report":
        load = engine.batch.find_lagged_load(now, state.faults.report_lag_seconds)
        return message.json_response(200, state.make_report(now, load))
    if req.path == "/v1/commands":
        return _execute_command(engine, req, now)
    if req.path == "/v1/cache/events":
        after = int(urllib.parse.parse_qs(req.target.partition("?")[2])["after"][0])
        published = engine.batch.select_published_events(after, now, state.faults)
        answer = {"incarnation": state.incarnation, "events": published}
        return message.json_response(200, answer)
    if req.path.startswith("/v1/cancel/"):
        scope = engine.streams.get(req.path.removeprefix("/v1/cancel/"))
        if scope is not None:
            scope.cancel()
        return message.json_response(200, {"cancelled": scope is not None})
    if req.path == "/v1/kv/export":
        return message.json_response(200, _Blocks(engine.batch.export_blocks()))
    if req.path == "/v1/kv/import":
        blocks = msgspec.json.decode(req.body, type=_Blocks)
        engine.batch.import_blocks(blocks.blocks, now)
        return message.json_response(200, {})
    if req.path == "/faults":
        state.faults = msgspec.json.decode(req.body, type=engine_faults.Faults)
        return message.json_response(200, state.faults)
    return message.json_response(404, {"error": f"no such path {req.path}"})


def _execute_command(engine: _Engine, req: message.Request, now: float) -> message.Response:
    cmd = msgspec.json.decode(req.body, type=command.Command)
    state = engine.state
    refusal = state.find_refusal(cmd)
    events.log(
        "target.command",
        instance=state.name,
        kind=cmd.kind.value,
        group=cmd.group,
        epoch=cmd.epoch,
        token=cmd.token,
        refused=refusal,
    )
    if refusal:
        response = message.json_response(409, {"error": refusal})
        if refusal == "token":
            response.headers.add("x-stale-token", "1")
        return response
    previous_membership = (state.group, state.epoch)
    state.apply_command(cmd, now)
    if previous_membership != (state.group, state.epoch):
        _cancel_streams(engine)
    return message.json_response(200, state.make_report(now, engine.batch.measure_load(0.0)))


def _cancel_streams(engine: _Engine) -> None:
    for scope in engine.streams.values():
        scope.cancel()


async def _serve_completion(engine: _Engine, exchange: http_server.Exchange) -> None:
    req = exchange.request
    state = engine.state
    addressed_membership = (req.headers.get("x-group"), req.headers.get("x-epoch"))
    if addressed_membership != (state.group, str(state.epoch)) or not state.is_complete(
        trio.current_time()
    ):
        refusal = message.json_response(503, {"error": "not a complete leader of this group"})
        refusal.headers.add("x-not-run", "1")
        await exchange.respond(refusal)
        return
    request_id = req.headers.get("x-request-id")
    body = msgspec.json.decode(req.body, type=completion.CompletionRequest)
    events.log("target.request", instance=state.name, group=state.group, request=request_id)
    previous_scope = engine.streams.get(request_id)
    if previous_scope is not None:
        previous_scope.cancel()
    scope = trio.CancelScope()
    engine.streams[request_id] = scope
    with scope:
        await _stream_completion(engine, exchange, request_id, body)
    if engine.streams.get(request_id) is scope:
        del engine.streams[request_id]
    state.finished += 1
    events.log("target.end", instance=state.name, request=request_id, cut=scope.cancelled_caught)


async def _stream_completion(
    engine: _Engine,
    exchange: http_server.Exchange,
    request_id: str,
    body: completion.CompletionRequest,
) -> None:
    headers = exchange.request.headers
    await engine.batch.acquire_slot(int(headers.get("x-priority", "1")))
    try:
        prompt = body.prompt_text()
        await engine.batch.prefill(prompt, trio.current_time())
        response_headers = header_lists.Headers().add("content-type", "text/event-stream")
        response_headers.add("x-request-id", request_id)
        await exchange.start_stream(200, response_headers)
        is_chat = exchange.request.path == "/v1/chat/completions"
        for offset in range(int(headers.get("x-resume-offset", "0")), body.max_tokens):
            await _wait_decode_step(engine)
            await exchange.send_chunk(_encode_event(request_id, offset, body, is_chat))
        await exchange.end_stream(b"data: [DONE]\n\n")
    finally:
        engine.batch.release_slot()


async def _wait_decode_step(engine: _Engine) -> None:
    await trio.sleep(engine.compute_token_seconds())
    while engine.state.faults.silent or not engine.state.is_complete(trio.current_time()):
        await trio.sleep(LOAD_SAMPLE_INTERVAL_SECONDS)


def _encode_event(
    request_id: str, offset: int, body: completion.CompletionRequest, is_chat: bool
) -> bytes:
    prompt = body.prompt_text()
    text = engine_text.make_token(prompt, offset)
    is_last = offset + 1 == body.max_tokens
    choice = completion.ChunkChoice(
        delta=completion.Delta(text if is_chat else ""),
        text="" if is_chat else text,
        finish_reason="length" if is_last else None,
    )
    chunk = completion.Chunk(
        request_id,
        offset,
        [choice],
        object="chat.completion.chunk" if is_chat else "text_completion",
        model=body.model,
        usage=_make_usage(prompt, offset + 1) if is_last else None,
    )
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def _make_usage(prompt: str, completion_tokens: int) -> completion.Usage:
    prompt_tokens = len(prompt) // engine_batch.CHARACTERS_PER_TOKEN
    return completion.Usage(prompt_tokens, completion_tokens, prompt_tokens + completion_tokens)
