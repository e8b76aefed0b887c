"""Steps for whole requests that an entry can't serve as usual."""

from __future__ import annotations

import socket
import struct
import types

import eliot
import h11
import msgspec
import trio
from behave import then, when
from steps import gateway_unframed, gateway_whole_path, platform_world

from galenavane.net import headers, tcp, transport_error

plan_step = gateway_whole_path.plan_step


class ChangedCodec:
    """The codec of an entry with one function replaced."""

    def __init__(self, codec, **replaced):
        self._codec = codec
        self._replaced = replaced

    def __getattr__(self, name):
        return self._replaced.get(name) or getattr(self._codec, name)


def collect_log(world):
    """Return the list of log lines from now on."""
    if not hasattr(world, "log_lines"):
        world.log_lines = []
        eliot.add_destinations(world.log_lines.append)
        world.stop_collecting = lambda: eliot.remove_destination(world.log_lines.append)
    return world.log_lines


@when("a client sends {request} whose Connection field names Host")
def call_without_host(context, request):
    @plan_step(context)
    async def step(world):
        collect_log(world)
        path, events, method = gateway_unframed.REQUESTS[request]
        fields = [
            (b"host", b"h.example"),
            (b"connection", b"host"),
            (b"attempt-id", b"a1"),
            (b"deadline-ms", b"8000"),
            (b"authorization", b"Bearer " + platform_world.KEY.encode()),
            (b"content-length", b"0"),
        ]
        if events:
            fields += [(b"model", platform_world.MODEL.encode())]
            fields += [(b"token-usage", b"10,%d" % events), (b"prompt-prefix", b"a:1")]
        conn = await tcp.make().dial(world.callers, 1.0)
        head = h11.Request(method=method, target=path, headers=fields)
        await conn.send(head, h11.EndOfMessage())
        world.answer = await read_answer(conn)
        await conn.close()


async def read_answer(conn):
    """Return the status of an answer, 0 if the connection ended without one."""
    try:
        response = await conn.read_response_head()
    except transport_error.TransportError:
        return types.SimpleNamespace(status=0, body=b"")
    return types.SimpleNamespace(status=response.status, body=await conn.read_body(100_000))


@when("answers of targets get a field that can't be sent")
def spoil_answers(context):
    @plan_step(context)
    async def step(world):
        collect_log(world)
        codec = world.entry.codec

        def decode_response(inbound, head):
            response = codec.decode_response(inbound, head)
            fields = headers.Headers([*response.headers.pairs, (b"x-a", b"a\nb")])
            return msgspec.structs.replace(response, headers=fields)

        world.entry.codec = ChangedCodec(codec, decode_response=decode_response)


@when("the choice of a target fails with a reset")
def spoil_choice(context):
    @plan_step(context)
    async def step(world):
        collect_log(world)

        def fail(service):
            kind = transport_error.Kind.RESET
            raise transport_error.TransportError(kind, True, "reset by the target")

        world.entry.send_budgets = types.SimpleNamespace(get=fail)


@then("the log has its end as {code} with outcome {outcome}")
def check_log(context, code, outcome):
    @plan_step(context)
    async def step(world):
        ends = [line for line in world.log_lines if line["message_type"] == "request.end"]
        world.stop_collecting()
        assert [(line["code"], line["outcome"]) for line in ends] == [(code, outcome)], ends


@when("the configuration names the client's account in Greek")
def rename_account(context):
    @plan_step(context)
    async def step(world):
        collect_log(world)
        spec = dict(world.store.objects["config"]["main"]["spec"])
        spec["version"] = world.version = world.version + 1
        spec["tenants"] = [{"name": "\u03b1", "api_keys": [platform_world.KEY]}]
        world.store.put("config", "main", spec)
        while world.entry.config_state.catalog.version < world.version:
            await trio.sleep(0.01)


@then("the log has a line on the defect")
def check_defect(context):
    @plan_step(context)
    async def step(world):
        lines = [line for line in world.log_lines if line["message_type"] == "request.defect"]
        assert len(lines) == 1 and "UnicodeEncodeError" in lines[0]["text"], lines


async def leave(conn, how):
    """End a client's connection in one of the ways that there are."""
    if how == "ends its sending side":
        await conn.stream.send_eof()
        return
    if how == "resets its connection":
        linger = struct.pack("ii", 1, 0)
        conn.stream.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    await conn.close()


@when("a client that has got {seen:d} events of {count:d} {how}")
def leave_stream(context, seen, count, how):
    @plan_step(context)
    async def step(world):
        collect_log(world)
        conn = await tcp.make().dial(world.callers, 1.0)
        await world.call_over(conn, "/once/x", count, take=lambda number: number >= seen)
        await leave(conn, how)
        world.client = conn


@then("the log has its end as CALLER_GONE, because {reason}")
def check_reason(context, reason):
    @plan_step(context)
    async def step(world):
        await trio.sleep(0.1)
        ends = [line for line in world.log_lines if line["message_type"] == "request.end"]
        world.stop_collecting()
        assert [line["code"] for line in ends] == ["CALLER_GONE"], ends
        assert ends[0]["text"].startswith(reason), ends
        await world.client.close()
