"""What ``apply``, ``preset``, ``rollback`` and ``diff`` share."""

from __future__ import annotations

import sys
import typing
from collections import abc

import expression

from galenavane.cli import generation_query
from galenavane.config import accept, capacity, declaration, diff, sweep
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import network, tcp
from galenavane.store import api, client

TIMEOUT_SECONDS = 5.0

_T = typing.TypeVar("_T")


class DesiredConfiguration:
    """The configuration that an operator wants."""

    __slots__ = ("declared", "preset")

    def __init__(self, declared: declaration.Declarations, preset: str) -> None:
        self.declared = declared
        self.preset = preset


Change = abc.Callable[
    [api.Api, accept.StoredConfiguration],
    abc.Awaitable[expression.Result[DesiredConfiguration, failure.Failure]],
]


async def run(where: addresses.Address, change: Change, *, is_dry_run: bool = False) -> int:
    """Change the current configuration and print what happens; return the exit code.

    :param is_dry_run: print the difference only.
    :raises failure.UserError: when it was not accepted.
    """
    net = tcp.make()
    platform = client.make(net, where, TIMEOUT_SECONDS)
    return await apply_change(net, platform, change, is_dry_run=is_dry_run)


async def apply_change(
    net: network.Network, platform: api.Api, change: Change, *, is_dry_run: bool = False
) -> int:
    """Do what ``run`` does over a network and a platform that are given."""
    current = _need(await accept.read_current(platform))
    wanted = _need(await change(platform, current))
    lines = _differences(current, wanted.declared, wanted.preset)
    print("\n".join(lines or ["no change"]))
    await _warn(platform, wanted)
    if is_dry_run:
        return 1 if lines else 0
    seen = await generation_query.query_entries(net, platform)
    is_behind = _warn_behind(current, seen)
    if current.head is not None and not lines and not is_behind:
        print(f'in force: generation {current.head.generation}, preset "{current.head.preset}"')
        return 0
    accepted = await accept.accept(
        platform, current, wanted.declared, wanted.preset, seen.highest_generation
    )
    if accepted.is_error() and accepted.error.code is codes.Code.PLATFORM_CONFLICT:
        raise failure.UserError(await _explain_conflict(platform, current))
    head = _need(accepted)
    print(f'accepted: generation {head.generation}, preset "{head.preset}"')
    await sweep.sweep(platform, head.generation)
    return 0


def select_preset(
    declared: declaration.Declarations, name: str
) -> expression.Result[DesiredConfiguration, failure.Failure]:
    """Return what is wanted when the preset is declared."""
    if name not in [one.name for one in declared.presets]:
        text = f'preset "{name}" is not declared'
        return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
    return expression.Ok(DesiredConfiguration(declared, name))


def _need(result: expression.Result[_T, failure.Failure]) -> _T:
    if result.is_error():
        raise failure.UserError(result.error)
    return result.ok


def _differences(
    current: accept.StoredConfiguration, declared: declaration.Declarations, preset: str
) -> list[str]:
    before = current.head.preset if current.head else ""
    return diff.diff(current.declared, before, declared, preset)


async def _warn(platform: api.Api, wanted: DesiredConfiguration) -> None:
    """Warn of too few instances; the lagging list decides nothing."""
    listed = await platform.list_instances()
    if listed.is_error():
        print(f"warning: capacity was not checked: {listed.error.message}", file=sys.stderr)
        return
    for line in capacity.list_shortages(wanted.declared, wanted.preset, listed.ok.instances or []):
        print(f"warning: {line}", file=sys.stderr)


def _warn_behind(
    current: accept.StoredConfiguration, seen: generation_query.EntryGenerations
) -> bool:
    """Warn when entries have a newer configuration than the platform."""
    if seen.unanswered:
        print(f"warning: no answer from {', '.join(sorted(seen.unanswered))}", file=sys.stderr)
    held = current.head.generation if current.head else 0
    if seen.highest_generation <= held:
        return False
    print(
        f"warning: the platform holds generation {held} although entries have generation "
        f"{seen.highest_generation} in force: it lost accepted changes; the new generation is "
        f"{seen.highest_generation + 1}",
        file=sys.stderr,
    )
    return True


async def _explain_conflict(platform: api.Api, base: accept.StoredConfiguration) -> failure.Failure:
    """Print what another operator changed and return the conflict."""
    found = await accept.read_current(platform)
    if found.is_error() or found.ok.head is None or found.ok.declared is None:
        text = "not accepted: another operator's change came first"
        return failure.Failure(codes.Code.PLATFORM_CONFLICT, text)
    before = base.head.preset if base.head else ""
    changed = diff.diff(base.declared, before, found.ok.declared, found.ok.head.preset)
    print("changed by another operator meanwhile:")
    print("\n".join(f"  {line}" for line in changed or ["nothing that differs"]))
    text = (
        f"not accepted: another operator's generation {found.ok.head.generation}, preset "
        f'"{found.ok.head.preset}", came first; look at the difference and run it again'
    )
    return failure.Failure(codes.Code.PLATFORM_CONFLICT, text)
