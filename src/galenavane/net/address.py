"""Parses and represents pairs of IP address and port."""

from __future__ import annotations

import ipaddress

import msgspec


class Address(msgspec.Struct, frozen=True, order=True):
    """Address on which a process listens.

    :ivar host: IP address in numeric form.
    :ivar port: 0 to 65535; 0 lets the operating system choose.
    """

    host: str
    port: int

    def __str__(self) -> str:
        """Return the form ``IP:port``."""
        return f"{self.host}:{self.port}"


def parse(text: str) -> Address:
    """Parse ``IP:port``.

    :raises ValueError: when the text is not a numeric IP address and a port.
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
    """Validate a space-separated list of ``IP:port``.

    :returns: the text unchanged.
    :raises ValueError: when an item is not a numeric IP address and a port.
    """
    for word in text.split():
        parse(word)
    return text
