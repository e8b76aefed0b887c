"""What ``apply`` and ``preset`` share: one acceptance from start to report."""

from __future__ import annotations

from collections import abc

import expression

from galenavane.config import accept, declaration
from galenavane.config import head as heads
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import tcp
from galenavane.platform import client

TIMEOUT_SECONDS = 5.0

Change = abc.Callable[[accept.Current], expression.Result["Wanted", failure.Failure]]


class Wanted:
    """The configuration that an operator wants."""

    __slots__ = ("declared", "preset")

    def __init__(self, declared: declaration.Declarations, preset: str) -> None:
        self.declared = declared
        self.preset = preset


async def run(where: addresses.Address, change: Change) -> heads.Head:
    """Read the current configuration, change it and report the accepted head.

    :raises failure.UserError: when it was not accepted.
    """
    platform = client.make(tcp.make(), where, TIMEOUT_SECONDS)
    current = await accept.read_current(platform)
    if current.is_error():
        raise failure.UserError(current.error)
    wanted = change(current.ok)
    if wanted.is_error():
        raise failure.UserError(wanted.error)
    accepted = await accept.accept(platform, current.ok, wanted.ok.declared, wanted.ok.preset)
    if accepted.is_error():
        raise failure.UserError(accepted.error)
    return accepted.ok


def check_preset(
    declared: declaration.Declarations, name: str
) -> expression.Result[Wanted, failure.Failure]:
    """Return what is wanted when the preset is declared."""
    if name not in [one.name for one in declared.presets]:
        text = f'preset "{name}" is not declared'
        return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
    return expression.Ok(Wanted(declared, name))
