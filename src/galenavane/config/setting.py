"""Declares a setting of a process with its type, default, unit and help text."""

from __future__ import annotations

import dataclasses
import typing
from collections import abc

from galenavane.net import address as addresses

Value = str | int | float | bool | addresses.Address
_T = typing.TypeVar("_T", str, int, float, bool, addresses.Address)


@dataclasses.dataclass(slots=True, frozen=True)
class Setting(typing.Generic[_T]):
    """The declaration of a setting.

    :ivar parse: parses the value; raises ``ValueError`` with the problem.
    :ivar default: ``None`` for a required setting.
    :ivar unit: empty for a value without a unit.
    """

    section: str
    key: str
    parse: abc.Callable[[str], _T]
    default: _T | None
    unit: str
    help: str


def parse_text(text: str) -> str:
    """Parse a non-empty text.

    :raises ValueError: when it is empty.
    """
    if not text.strip():
        raise ValueError("is empty")
    return text.strip()


def parse_count(text: str) -> int:
    """Parse a non-negative whole number.

    :raises ValueError: when it is anything else.
    """
    if not text.strip().isdigit():
        raise ValueError(f'"{text}" is not a whole number')
    return int(text)


def parse_number(text: str) -> float:
    """Parse a finite, non-negative number.

    :raises ValueError: when it is anything else.
    """
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f'"{text}" is not a number') from None
    if not 0 <= value < float("inf"):
        raise ValueError(f'"{text}" is not a finite, non-negative number')
    return value


def parse_positive(text: str) -> float:
    """Parse a finite number above zero.

    :raises ValueError: when it is anything else.
    """
    value = parse_number(text)
    if value == 0:
        raise ValueError(f'"{text}" is not above zero')
    return value
