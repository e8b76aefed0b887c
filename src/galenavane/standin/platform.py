"""Stand-in for the platform with its object API, list of instances and faults."""

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

_OBJECTS_PREFIX = "/v1/objects/"


@dataclasses.dataclass(slots=True, frozen=True)
class _ListSnapshot:
    """List of instances between two changes.

    :ivar taken_at: time of the change that led to this list, in seconds on the monotonic clock.
    :ivar versions: version of the last change by data centre; an empty name stands for all.
    """

    taken_at: float
    instances: list[instance.Instance]
    versions: dict[str, int]


class _Platform:
    """State of the platform.

    :ivar call_counts: calls so far by method and first part of the path after ``/v1``.
    :ivar recent_calls: times of the calls in the last second, on the monotonic clock.
    """

    __slots__ = (
        "call_counts",
        "faults",
        "instances",
        "list_versions",
        "recent_calls",
        "snapshots",
        "store",
    )

    def __init__(self) -> None:
        self.store = platform_store.ObjectStore()
        self.faults = platform_faults.Faults()
        self.instances: dict[str, instance.Instance] = {}
        self.snapshots: collections.deque[_ListSnapshot] = collections.deque()
        self.list_versions: dict[str, int] = {}
        self.call_counts: collections.Counter[str] = collections.Counter()
        self.recent_calls: collections.deque[float] = collections.deque()


async def run(
    net: network.Network,
    address: addresses.Address,
    *,
    task_status: trio.TaskStatus[addresses.Address] = trio.TASK_STATUS_IGNORED,
) -> None:
    """Serve the API of the platform at ``address`` until cancelled."""
    state = _Platform()

    async def handle(exchange: http_server.Exchange) -> None:
        await _handle(state, exchange)

    await net.listen(address, handle, task_status=task_status)


async def _handle(state: _Platform, exchange: http_server.Exchange) -> None:
    req = exchange.request
    if req.path == "/faults":
        state.faults = msgspec.json.decode(req.body, type=platform_faults.Faults)
        await exchange.respond(message.json_response(200, state.faults))
        return
    if req.path in ("/keep", "/lose"):
        (state.store.save_snapshot if req.path == "/keep" else state.store.restore_snapshot)()
        await exchange.respond(message.json_response(200, {}))
        return
    if req.path == "/v1/instances" and req.method == "POST":
        await exchange.respond(_register_instance(state, req))
        return
    if req.path == "/v1/calls":
        await exchange.respond(message.json_response(200, dict(state.call_counts)))
        return
    await _handle_call(state, exchange)


async def _handle_call(state: _Platform, exchange: http_server.Exchange) -> None:
    req = exchange.request
    state.call_counts[f"{req.method} {req.path.split('/')[2]}"] += 1
    if state.faults.down:
        await trio.sleep_forever()
    await trio.sleep(state.faults.slow_seconds)
    if _exceeds_rate(state):
        await exchange.respond(message.json_response(429, {"error": "call rate"}))
        return
    response = await _make_response(state, req)
    if state.faults.lose_answers and req.method in ("PUT", "DELETE"):
        await trio.sleep_forever()
    await exchange.respond(response)


def _exceeds_rate(state: _Platform) -> bool:
    now = trio.current_time()
    while state.recent_calls and state.recent_calls[0] < now - 1.0:
        state.recent_calls.popleft()
    state.recent_calls.append(now)
    return 0 < state.faults.calls_per_second < len(state.recent_calls)


async def _make_response(state: _Platform, req: message.Request) -> message.Response:
    query = dict(urllib.parse.parse_qsl(req.target.partition("?")[2]))
    if req.path.startswith(_OBJECTS_PREFIX):
        return _handle_object(state, req, query)
    if req.path == "/v1/list":
        return message.json_response(200, state.store.list_objects(query.get("prefix", "")))
    if req.path == "/v1/watch":
        return await _handle_watch(state, query)
    if req.path == "/v1/instances":
        return message.json_response(200, _make_lagged_list(state, query))
    return message.json_response(404, {"error": "no such path"})


def _handle_object(
    state: _Platform, req: message.Request, query: dict[str, str]
) -> message.Response:
    key = urllib.parse.unquote(req.path.removeprefix(_OBJECTS_PREFIX))
    if req.method == "GET":
        return message.json_response(200, state.store.get(key))
    if req.method == "DELETE":
        if_version = query.get("if_version")
        is_written = state.store.put(key, "", int(if_version) if if_version else None)
    else:
        put_request = msgspec.json.decode(req.body, type=stored.PutRequest)
        if len(put_request.value.encode()) > stored.MAX_VALUE_BYTES:
            return message.json_response(413, {"error": "value over 1 MB"})
        is_written = state.store.put(key, put_request.value, put_request.if_version)
    version = state.store.objects[key].version if key in state.store.objects else 0
    return message.json_response(200 if is_written else 409, stored.WriteResponse(version))


async def _handle_watch(state: _Platform, query: dict[str, str]) -> message.Response:
    prefix = query.get("prefix", "")
    after = int(query.get("after", "0"))
    if state.faults.silent_watch:
        await trio.sleep_forever()
    with trio.move_on_after(float(query.get("wait", "10"))):
        while not state.store.list_changes(prefix, after).objects:
            await state.store.wait_for_change()
    if state.faults.down or state.faults.silent_watch:
        await trio.sleep_forever()
    return message.json_response(200, state.store.list_changes(prefix, after))


def _register_instance(state: _Platform, req: message.Request) -> message.Response:
    registered = msgspec.json.decode(req.body, type=instance.Instance)
    state.instances[registered.name] = registered
    _record_snapshot(state, registered.data_centre)
    return message.json_response(200, registered)


def _record_snapshot(state: _Platform, data_centre: str) -> None:
    version = state.list_versions.get("", 0) + 1
    state.list_versions = {**state.list_versions, "": version, data_centre: version}
    listed = sorted(state.instances.values(), key=lambda known: known.name)
    state.snapshots.append(_ListSnapshot(trio.current_time(), listed, state.list_versions))


def _make_lagged_list(state: _Platform, query: dict[str, str]) -> instance.InstanceList:
    listed_until = trio.current_time() - state.faults.list_lag_seconds
    while len(state.snapshots) > 1 and state.snapshots[1].taken_at <= listed_until:
        state.snapshots.popleft()
    if not state.snapshots or state.snapshots[0].taken_at > listed_until:
        return instance.InstanceList([])
    snapshot = state.snapshots[0]
    data_centre = query.get("data_centre", "")
    version = snapshot.versions.get(data_centre, 0)
    if version and version == int(query.get("after", "0")):
        return instance.InstanceList(None, version, len(snapshot.instances))
    selected = [known for known in snapshot.instances if data_centre in ("", known.data_centre)]
    return instance.InstanceList(selected, version, len(snapshot.instances))
