"""Stand-in for the platform: object API, list of instances, and faults."""

from __future__ import annotations

import collections
import dataclasses
import urllib.parse

import msgspec
import trio

from galenavane.net import address as addresses
from galenavane.net import http_server, message, network
from galenavane.standin import platform_faults, platform_store
from galenavane.store import instance, stored

_OBJECTS = "/v1/objects/"


@dataclasses.dataclass(slots=True, frozen=True)
class _ListView:
    """The list of instances as it was from one moment on.

    :ivar versions: version of the last change by data centre; that of all under an empty name.
    """

    at: float
    instances: list[instance.Instance]
    versions: dict[str, int]


class _Platform:
    """State of the stand-in."""

    __slots__ = ("calls", "faults", "instances", "list_versions", "recent", "store", "views")

    def __init__(self) -> None:
        self.store = platform_store.Store()
        self.faults = platform_faults.Faults()
        self.instances: dict[str, instance.Instance] = {}
        self.views: collections.deque[_ListView] = collections.deque()
        self.list_versions: dict[str, int] = {}
        self.calls: collections.Counter[str] = collections.Counter()
        self.recent: collections.deque[float] = collections.deque()


async def run(
    net: network.Network,
    where: addresses.Address,
    *,
    task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the platform's API until cancelled."""
    state = _Platform()

    async def handle(exchange: http_server.Exchange) -> None:
        await _handle(state, exchange)

    await net.listen(where, handle, task_status=task_status)


async def _handle(state: _Platform, exchange: http_server.Exchange) -> None:
    req = exchange.request
    if req.path == "/faults":
        state.faults = msgspec.json.decode(req.body, type=platform_faults.Faults)
        await exchange.respond(message.json_response(200, state.faults))
        return
    if req.path in ("/keep", "/lose"):
        (state.store.keep if req.path == "/keep" else state.store.lose)()
        await exchange.respond(message.json_response(200, {}))
        return
    if req.path == "/v1/instances" and req.method == "POST":
        await exchange.respond(_register(state, req))
        return
    if req.path == "/v1/calls":
        await exchange.respond(message.json_response(200, dict(state.calls)))
        return
    await _handle_call(state, exchange)


async def _handle_call(state: _Platform, exchange: http_server.Exchange) -> None:
    req = exchange.request
    state.calls[f"{req.method} {req.path.split('/')[2]}"] += 1
    if state.faults.down:
        await trio.sleep_forever()
    await trio.sleep(state.faults.slow_seconds)
    if _is_over_rate(state):
        await exchange.respond(message.json_response(429, {"error": "call rate"}))
        return
    response = await _answer(state, req)
    if state.faults.lose_answers and req.method in ("PUT", "DELETE"):
        await trio.sleep_forever()
    await exchange.respond(response)


def _is_over_rate(state: _Platform) -> bool:
    now = trio.current_time()
    while state.recent and state.recent[0] < now - 1.0:
        state.recent.popleft()
    state.recent.append(now)
    return 0 < state.faults.calls_per_second < len(state.recent)


async def _answer(state: _Platform, req: message.Request) -> message.Response:
    query = dict(urllib.parse.parse_qsl(req.target.partition("?")[2]))
    if req.path.startswith(_OBJECTS):
        return _answer_object(state, req, query)
    if req.path == "/v1/list":
        return message.json_response(200, state.store.list_objects(query.get("prefix", "")))
    if req.path == "/v1/watch":
        return await _answer_watch(state, query)
    if req.path == "/v1/instances":
        return message.json_response(200, _lagging_list(state, query))
    return message.json_response(404, {"error": "no such path"})


def _answer_object(
    state: _Platform, req: message.Request, query: dict[str, str]
) -> message.Response:
    key = urllib.parse.unquote(req.path.removeprefix(_OBJECTS))
    if req.method == "GET":
        return message.json_response(200, state.store.get(key))
    if req.method == "DELETE":
        text = query.get("if_version")
        done = state.store.put(key, "", int(text) if text else None)
    else:
        put = msgspec.json.decode(req.body, type=stored.PutRequest)
        if len(put.value.encode()) > stored.MAX_VALUE_BYTES:
            return message.json_response(413, {"error": "value over 1 MB"})
        done = state.store.put(key, put.value, put.if_version)
    version = state.store.objects[key].version if key in state.store.objects else 0
    return message.json_response(200 if done else 409, stored.WriteResponse(version))


async def _answer_watch(state: _Platform, query: dict[str, str]) -> message.Response:
    prefix = query.get("prefix", "")
    after = int(query.get("after", "0"))
    if state.faults.silent_watch:
        await trio.sleep_forever()
    with trio.move_on_after(float(query.get("wait", "10"))):
        while not state.store.changes(prefix, after).objects:
            await state.store.wait_change()
    if state.faults.down or state.faults.silent_watch:
        await trio.sleep_forever()
    return message.json_response(200, state.store.changes(prefix, after))


def _register(state: _Platform, req: message.Request) -> message.Response:
    found = msgspec.json.decode(req.body, type=instance.Instance)
    state.instances[found.name] = found
    _remember_list(state, found.data_centre)
    return message.json_response(200, found)


def _remember_list(state: _Platform, data_centre: str) -> None:
    version = state.list_versions.get("", 0) + 1
    state.list_versions = {**state.list_versions, "": version, data_centre: version}
    listed = sorted(state.instances.values(), key=lambda one: one.name)
    state.views.append(_ListView(trio.current_time(), listed, state.list_versions))


def _lagging_list(state: _Platform, query: dict[str, str]) -> instance.InstanceList:
    seen_until = trio.current_time() - state.faults.list_lag_seconds
    while len(state.views) > 1 and state.views[1].at <= seen_until:
        state.views.popleft()
    if not state.views or state.views[0].at > seen_until:
        return instance.InstanceList([])
    view = state.views[0]
    wanted = query.get("data_centre", "")
    version = view.versions.get(wanted, 0)
    if version and version == int(query.get("after", "0")):
        return instance.InstanceList(None, version, len(view.instances))
    chosen = [one for one in view.instances if wanted in ("", one.data_centre)]
    return instance.InstanceList(chosen, version, len(view.instances))
