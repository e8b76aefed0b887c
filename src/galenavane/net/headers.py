"""Represents and filters HTTP header fields."""

from __future__ import annotations

from collections import abc

HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)

_Pair = tuple[bytes, bytes]


class Headers:
    """An ordered list of header fields with lower-case names.

    :ivar pairs: name and value of each field, as bytes.
    """

    __slots__ = ("pairs",)

    def __init__(self, pairs: abc.Iterable[_Pair] = ()) -> None:
        self.pairs: list[_Pair] = [(name.lower(), value) for name, value in pairs]

    def get(self, name: str, default: str = "") -> str:
        """Return the first value of a field, or the default."""
        encoded_name = name.lower().encode()
        for key, value in self.pairs:
            if key == encoded_name:
                return value.decode("latin-1")
        return default

    def add(self, name: str, value: str) -> Headers:
        """Append a field and return this object."""
        self.pairs.append((name.lower().encode(), value.encode("latin-1")))
        return self

    def without(self, names: abc.Set[bytes]) -> Headers:
        """Return a copy without the named fields."""
        return Headers(pair for pair in self.pairs if pair[0] not in names)

    def end_to_end(self) -> Headers:
        """Return a copy without hop-by-hop fields, including those listed in ``Connection``."""
        named = {
            token.strip().lower()
            for name, value in self.pairs
            if name == b"connection"
            for token in value.split(b",")
        }
        return self.without(HOP_BY_HOP | named)
