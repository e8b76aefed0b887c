"""One setting of a process: type, default, unit and help, declared once."""

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

    :ivar default: ``None`` for a setting that must be given.
    :ivar unit: empty for a value without a unit.
    """

    section: str
    key: str
    parse: abc.Callable[[str], _T]
    default: _T | None
    unit: str
    help: str


def parse_text(text: str) -> str:
    """Parse a text that is not empty."""
    if not text.strip():
        raise ValueError("is empty")
    return text.strip()


def parse_count(text: str) -> int:
    """Parse a whole number from 0."""
    if not text.strip().isdigit():
        raise ValueError(f'"{text}" is not a whole number')
    return int(text)


def parse_number(text: str) -> float:
    """Parse a number that is not negative."""
    try:
        value = float(text)
    except ValueError:
        raise ValueError(f'"{text}" is not a number') from None
    if not 0 <= value < float("inf"):
        raise ValueError(f'"{text}" is not a finite number from 0')
    return value
