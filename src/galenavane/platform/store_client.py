"""HTTP client of the platform's metadata store."""

from __future__ import annotations

import typing
import urllib.parse

import expression
import msgspec

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.failure import outcome as outcomes
from galenavane.fleet import target
from galenavane.gateway import object_store
from galenavane.net import address, connection_pool, message, transport_error, untrusted_json
from galenavane.observe import events as event_log
from galenavane.platform import wire_target

CALL_TIMEOUT_SECONDS = 0.6
"""The store responds in 4 ms, and takes up to 60 times as long when it is slow."""
WATCH_MARGIN_SECONDS = 0.6
CATCH_UP_SECONDS = 0.001
"""Changes that were made already are returned at once."""
MAX_RESPONSE_BYTES = 8_000_000
_TARGETS_KIND = "servers"
_CONFIG_KEY = "config/main"
_LOGGED_BYTES = 200
"""Of an object that can't be decoded."""

_T = typing.TypeVar("_T")
_Result = expression.Result


class _Metadata(msgspec.Struct):
    name: str
    # Store revision of the object's last change.
    revision: int = 0


class _Object(msgspec.Struct):
    metadata: _Metadata
    spec: msgspec.Raw = msgspec.Raw(b"null")


class _Page(msgspec.Struct):
    # Store revision of the page, from which a watch can continue.
    as_of: int
    items: list[_Object] = []
    has_more: bool = False


class _Event(msgspec.Struct):
    object: _Object
    deleted: bool = False


class _Events(msgspec.Struct):
    # Store revision up to which the events are complete.
    as_of: int
    events: list[_Event] = []


class _NewMetadata(msgspec.Struct, omit_defaults=True):
    name: str
    revision: int | None = None


class _Write(msgspec.Struct):
    metadata: _NewMetadata
    spec: object


class _StoreClient:
    __slots__ = ("_address", "_pool", "calls")

    def __init__(
        self, pool: connection_pool.ConnectionPool, store_address: address.Address
    ) -> None:
        self._pool = pool
        self._address = store_address
        self.calls = 0

    async def list_targets(self) -> _Result[object_store.TargetList, failure.Failure]:
        targets: dict[str, target.Target] = {}
        revision = 0
        after = ""
        while True:
            result = await self._get(f"/objects/{_TARGETS_KIND}{_query(after=after)}", _Page)
            if result.is_error():
                return expression.Error(result.error)
            page = result.ok
            # Changes of a page that has been read come after the first page's revision.
            revision = revision or page.as_of
            for listed in page.items:
                _apply(targets, listed.metadata.name, _decode_target(listed))
            if not page.has_more:
                return await self._catch_up(targets, revision, page.as_of)
            if not page.items or page.items[-1].metadata.name <= after:
                text = "the list does not go on after a page"
                return expression.Error(failure.Failure(codes.Code.OBJECT_DAMAGED, text))
            after = page.items[-1].metadata.name

    async def _catch_up(
        self, targets: dict[str, target.Target], revision: int, last_revision: int
    ) -> _Result[object_store.TargetList, failure.Failure]:
        """Apply the changes that were made between the pages, so that all hold at one revision.

        :param revision: of the first page.
        :param last_revision: of the last page.
        """
        while revision < last_revision:
            watched = await self._watch(_TARGETS_KIND, revision, CATCH_UP_SECONDS, reuse_share=0.5)
            if watched.is_error():
                return expression.Error(watched.error)
            for event in watched.ok.events:
                changed = None if event.deleted else _decode_target(event.object)
                _apply(targets, event.object.metadata.name, changed)
            if not watched.ok.events:
                revision = max(last_revision, watched.ok.as_of)
            elif watched.ok.as_of <= revision:
                text = "a watch does not go on"
                return expression.Error(failure.Failure(codes.Code.OBJECT_DAMAGED, text))
            else:
                revision = watched.ok.as_of
        return expression.Ok(object_store.TargetList(revision, list(targets.values())))

    async def watch_targets(
        self, revision: int, wait_seconds: float
    ) -> _Result[object_store.TargetChanges, failure.Failure]:
        watched = await self._watch(_TARGETS_KIND, revision, wait_seconds)
        return watched.map(_make_changes)

    async def read_config(self) -> _Result[object_store.StoredObject, failure.Failure]:
        return (await self._get(f"/objects/{_CONFIG_KEY}", _Object)).map(_make_stored)

    async def watch_config(
        self, revision: int, wait_seconds: float
    ) -> _Result[object_store.ObjectChanges, failure.Failure]:
        kind = _CONFIG_KEY.partition("/")[0]
        watched = await self._watch(kind, revision, wait_seconds)
        return watched.map(
            lambda events: object_store.ObjectChanges(
                events.as_of,
                [_make_stored(event.object) for event in events.events if not event.deleted],
            )
        )

    async def read(
        self, kind: str, name: str
    ) -> _Result[object_store.StoredObject, failure.Failure]:
        return (await self._get(f"/objects/{kind}/{name}", _Object)).map(_make_stored)

    async def list_objects(
        self, kind: str, after: str = ""
    ) -> _Result[object_store.ObjectPage, failure.Failure]:
        # A list of peers may be seconds old, and a stale read costs a tenth of a fresh one.
        query = _query(stale_ok="1", after=after)
        return (await self._get(f"/objects/{kind}{query}", _Page)).map(_make_page)

    async def create(
        self, kind: str, name: str, value: object
    ) -> _Result[object_store.StoredObject, failure.Failure]:
        body = _Write(_NewMetadata(name), value)
        return await self._write("POST", f"/objects/{kind}", body)

    async def replace(
        self, kind: str, name: str, value: object, revision: int | None
    ) -> _Result[object_store.StoredObject, failure.Failure]:
        body = _Write(_NewMetadata(name, revision), value)
        return await self._write("PUT", f"/objects/{kind}/{name}", body)

    async def delete(self, kind: str, name: str) -> _Result[None, failure.Failure]:
        req = message.Request("DELETE", f"/objects/{kind}/{name}")
        return (await self._call(req, CALL_TIMEOUT_SECONDS)).map(lambda _: None)

    async def _watch(
        self, kind: str, revision: int, wait_seconds: float, reuse_share: float = 1.0
    ) -> _Result[_Events, failure.Failure]:
        query = _query(watch=str(revision), wait_ms=str(int(wait_seconds * 1000)))
        timeout_seconds = wait_seconds + WATCH_MARGIN_SECONDS
        req = message.Request("GET", f"/objects/{kind}{query}")
        response = await self._call(req, timeout_seconds, reuse_share)
        return response.bind(lambda ok_response: _decode(ok_response, _Events))

    async def _write(
        self, method: str, path: str, body: _Write
    ) -> _Result[object_store.StoredObject, failure.Failure]:
        req = message.json_request(method, path, body)
        response = await self._call(req, CALL_TIMEOUT_SECONDS)
        return response.bind(lambda ok_response: _decode(ok_response, _Object)).map(_make_stored)

    async def _get(self, path: str, kind: type[_T]) -> _Result[_T, failure.Failure]:
        response = await self._call(message.Request("GET", path), CALL_TIMEOUT_SECONDS)
        return response.bind(lambda ok_response: _decode(ok_response, kind))

    async def _call(
        self, req: message.Request, timeout_seconds: float, reuse_share: float = 0.5
    ) -> _Result[message.Response, failure.Failure]:
        self.calls += 1
        try:
            response = await self._pool.send(
                self._address, req, timeout_seconds, MAX_RESPONSE_BYTES, reuse_share
            )
        except transport_error.TransportError as exc:
            code = codes.Code.PLATFORM_DOWN
            if exc.has_sent_bytes and req.method != "GET":
                code = codes.Code.PLATFORM_UNKNOWN
            text = f"{req.method} {req.path}: {exc}"
            return expression.Error(failure.Failure(code, text, outcomes.Outcome.UNKNOWN))
        if response.status in (200, 201, 202, 204):
            return expression.Ok(response)
        text = f"{req.method} {req.path}: status {response.status}"
        code = _CODE_BY_STATUS.get(response.status, codes.Code.PLATFORM_DOWN)
        return expression.Error(failure.Failure(code, text))


_CODE_BY_STATUS = {
    404: codes.Code.OBJECT_MISSING,
    409: codes.Code.PLATFORM_CONFLICT,
    410: codes.Code.HISTORY_GONE,
    413: codes.Code.VALUE_TOO_LARGE,
    429: codes.Code.PLATFORM_REFUSED,
}


def make(
    pool: connection_pool.ConnectionPool, store_address: address.Address
) -> object_store.ObjectStore:
    """Return a client for the store at an address."""
    return _StoreClient(pool, store_address)


def _query(**params: str) -> str:
    non_empty = {name: value for name, value in params.items() if value}
    return f"?{urllib.parse.urlencode(non_empty)}" if non_empty else ""


def _decode(response: message.Response, kind: type[_T]) -> _Result[_T, failure.Failure]:
    try:
        return expression.Ok(_decode_body(response.body, kind))
    except msgspec.DecodeError as exc:
        return expression.Error(failure.Failure(codes.Code.OBJECT_DAMAGED, str(exc)))


def _decode_body(body: bytes, kind: type[_T]) -> _T:
    """Decode a body; objects of other writers that can't be decoded don't hide the others.

    :raises msgspec.DecodeError: if the body itself is malformed.
    """
    try:
        return untrusted_json.decode(body, kind)
    except msgspec.DecodeError:
        if kind is _Object:
            found = _decode_object(body)
            if found is None:
                raise
            return typing.cast(_T, found)
        members = untrusted_json.split_object(body)
        revision = untrusted_json.decode(members.get(b"as_of", b""), int)
        if kind is _Page:
            items = untrusted_json.split_array(members.get(b"items", b"[]"))
            found_items = [item for item in map(_decode_object, items) if item is not None]
            has_more = members.get(b"has_more", b"").strip() == b"true"
            return typing.cast(_T, _Page(revision, found_items, has_more))
        changes = untrusted_json.split_array(members.get(b"events", b"[]"))
        found_events = [event for event in map(_decode_event, changes) if event is not None]
        return typing.cast(_T, _Events(revision, found_events))


def _decode_object(data: bytes) -> _Object | None:
    """Decode an object, without its value if only that can't be decoded."""
    try:
        return untrusted_json.decode(data, _Object)
    except msgspec.DecodeError as exc:
        event_log.log("store.odd_object", text=str(exc), start=ascii(data[:_LOGGED_BYTES]))
    try:
        metadata = untrusted_json.split_object(data).get(b"metadata", b"")
        return _Object(untrusted_json.decode(metadata, _Metadata))
    except msgspec.DecodeError:
        return None


def _decode_event(data: bytes) -> _Event | None:
    try:
        members = untrusted_json.split_object(data)
    except msgspec.DecodeError:
        return None
    found = _decode_object(members.get(b"object", b""))
    is_deleted = members.get(b"deleted", b"").strip() == b"true"
    return _Event(found, is_deleted) if found is not None else None


def _make_page(page: _Page) -> object_store.ObjectPage:
    next_after = page.items[-1].metadata.name if page.has_more and page.items else ""
    return object_store.ObjectPage([_make_stored(item) for item in page.items], next_after)


def _make_stored(decoded: _Object) -> object_store.StoredObject:
    return object_store.StoredObject(
        decoded.metadata.name, decoded.metadata.revision, bytes(decoded.spec)
    )


def _decode_target(listed: _Object) -> target.Target | None:
    return wire_target.decode_target(listed.metadata.name, listed.spec)


def _apply(targets: dict[str, target.Target], name: str, changed: target.Target | None) -> None:
    """Put a target in place of the one of its name, or remove that one."""
    targets.pop(name, None)
    if changed is not None:
        targets[name] = changed


def _make_changes(watched: _Events) -> object_store.TargetChanges:
    changes: list[object_store.TargetChange] = []
    for event in watched.events:
        changed = None if event.deleted else _decode_target(event.object)
        changes.append(object_store.TargetChange(event.object.metadata.name, changed))
    return object_store.TargetChanges(watched.as_of, changes)
