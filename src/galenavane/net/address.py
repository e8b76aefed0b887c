"""IP address and port."""

from __future__ import annotations

import ipaddress

import msgspec


class Address(msgspec.Struct, frozen=True, order=True):
    """Where a process listens.

    :ivar host: an IP number.
    :ivar port: 0 to 65535; 0 lets the system choose.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the usual text form."""
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse ``IP:port``.

    :raises ValueError: when the text is not an IP number and port.
    """
    host, _, port = text.strip().rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        raise ValueError(f'"{text}" is not an IP number and port') from None
    if not port.isdigit() or int(port) > 65535:
        raise ValueError(f'"{text}" is not an IP number and port')
    return Address(host, int(port))


def check_list(text: str) -> str:
    """Check a list of ``IP:port`` separated by spaces, and return it.

    :raises ValueError: when one of them is not an IP number and port.
    """
    for word in text.split():
        parse(word)
    return text
