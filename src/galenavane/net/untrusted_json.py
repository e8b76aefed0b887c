"""Decodes JSON that others have written, whole or part by part."""

from __future__ import annotations

import re
import typing

import msgspec

MAX_COUNT = 2**63 - 1
Count = typing.Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
"""A number that can be passed on in any encoding; other writers may send one of any size."""

_T = typing.TypeVar("_T")
_TOKEN = re.compile(rb'"[^"\\]*(?:\\.[^"\\]*)*"|[\[\]{},:]', re.DOTALL)


def decode(data: bytes | msgspec.Raw, kind: type[_T]) -> _T:
    """Decode a JSON value.

    :raises msgspec.DecodeError: if it is malformed, of another type or nested too deeply.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except RecursionError:
        raise msgspec.DecodeError("the value is nested too deeply") from None


def split_object(data: bytes) -> dict[bytes, bytes]:
    """Return the members of an object as they are encoded, by their names without quotes.

    :raises msgspec.DecodeError: if it is no object whose brackets match.
    """
    members: dict[bytes, bytes] = {}
    for part in _split(data, b"{"):
        name = _TOKEN.match(part)
        if name is not None:
            members[name[0].strip(b'"')] = part[name.end() :].lstrip().removeprefix(b":")
    return members


def split_array(data: bytes) -> list[bytes]:
    """Return the items of an array as they are encoded.

    :raises msgspec.DecodeError: if it is no array whose brackets match.
    """
    return _split(data, b"[")


def _split(data: bytes, bracket: bytes) -> list[bytes]:
    """Return the parts of a value between the commas of its outermost level."""
    if not data.lstrip().startswith(bracket):
        raise msgspec.DecodeError("the value is of another type")
    parts: list[bytes] = []
    depth = 0
    begin = 0
    for token in _TOKEN.finditer(data):
        text = token[0]
        if text in (b"{", b"["):
            depth += 1
            if depth == 1:
                begin = token.end()
        elif (text in (b"}", b"]") and depth == 1) or (text == b"," and depth == 1):
            parts.append(data[begin : token.start()].strip())
            begin = token.end()
        if text in (b"}", b"]"):
            depth -= 1
    if depth != 0:
        raise msgspec.DecodeError("the brackets of the value don't match")
    return [part for part in parts if part]
