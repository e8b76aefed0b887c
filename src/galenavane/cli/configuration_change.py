"""Changes the configuration for ``apply``, ``preset``, ``rollback`` and ``diff``."""

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
    """The configuration that an operator wants in force."""

    __slots__ = ("declared", "preset")

    def __init__(self, declared: declaration.Declarations, preset: str) -> None:
        self.declared = declared
        self.preset = preset


Change = abc.Callable[
    [api.Api, accept.StoredConfiguration],
    abc.Awaitable[expression.Result[DesiredConfiguration, failure.Failure]],
]


async def run(
    platform_address: addresses.Address, change: Change, *, is_dry_run: bool = False
) -> int:
    """Change the configuration in force, and print the differences and the result.

    :param platform_address: address of the platform's object API.
    :param change: computes the desired configuration from the current one.
    :param is_dry_run: only print the differences.
    :returns: exit code; 1 when a dry run finds a difference, else 0.
    :raises failure.UserError: when the change was not accepted.
    """
    net = tcp.make()
    platform = client.make(net, platform_address, TIMEOUT_SECONDS)
    return await apply_change(net, platform, change, is_dry_run=is_dry_run)


async def apply_change(
    net: network.Network, platform: api.Api, change: Change, *, is_dry_run: bool = False
) -> int:
    """Change the configuration as ``run`` does, with a given network and platform client."""
    current = _unwrap(await accept.read_current(platform))
    desired = _unwrap(await change(platform, current))
    differences = _diff_configurations(current, desired.declared, desired.preset)
    print("\n".join(differences or ["no change"]))
    await _warn_of_shortages(platform, desired)
    if is_dry_run:
        return 1 if differences else 0
    generations = await generation_query.query_entries(net, platform)
    is_platform_behind = _warn_if_platform_behind(current, generations)
    if current.head is not None and not differences and not is_platform_behind:
        print(f'in force: generation {current.head.generation}, preset "{current.head.preset}"')
        return 0
    accepted = await accept.accept(
        platform, current, desired.declared, desired.preset, generations.highest_generation
    )
    if accepted.is_error() and accepted.error.code is codes.Code.PLATFORM_CONFLICT:
        raise failure.UserError(await _explain_conflict(platform, current))
    head = _unwrap(accepted)
    print(f'accepted: generation {head.generation}, preset "{head.preset}"')
    await sweep.sweep(platform, head.generation)
    return 0


def select_preset(
    declared: declaration.Declarations, name: str
) -> expression.Result[DesiredConfiguration, failure.Failure]:
    """Return the desired configuration with a preset in force, if the preset is declared."""
    if name not in [declared_preset.name for declared_preset in declared.presets]:
        text = f'preset "{name}" is not declared'
        return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
    return expression.Ok(DesiredConfiguration(declared, name))


def _unwrap(result: expression.Result[_T, failure.Failure]) -> _T:
    if result.is_error():
        raise failure.UserError(result.error)
    return result.ok


def _diff_configurations(
    current: accept.StoredConfiguration, declared: declaration.Declarations, preset: str
) -> list[str]:
    old_preset = current.head.preset if current.head else ""
    return diff.diff(current.declared, old_preset, declared, preset)


async def _warn_of_shortages(platform: api.Api, desired: DesiredConfiguration) -> None:
    """Warn of data centres with too few instances.

    This decides nothing, since the platform's list of instances may lag.
    """
    instance_list = await platform.list_instances()
    if instance_list.is_error():
        print(f"warning: capacity was not checked: {instance_list.error.message}", file=sys.stderr)
        return
    for shortage in capacity.list_shortages(
        desired.declared, desired.preset, instance_list.ok.instances or []
    ):
        print(f"warning: {shortage}", file=sys.stderr)


def _warn_if_platform_behind(
    current: accept.StoredConfiguration, generations: generation_query.EntryGenerations
) -> bool:
    """Warn if the platform lost changes that entries have in force, and return whether it did."""
    if generations.unanswered:
        print(
            f"warning: no answer from {', '.join(sorted(generations.unanswered))}", file=sys.stderr
        )
    platform_generation = current.head.generation if current.head else 0
    if generations.highest_generation <= platform_generation:
        return False
    print(
        f"warning: the platform holds generation {platform_generation} although entries have "
        f"generation {generations.highest_generation} in force: it lost accepted changes; "
        f"the new generation is {generations.highest_generation + 1}",
        file=sys.stderr,
    )
    return True


async def _explain_conflict(platform: api.Api, base: accept.StoredConfiguration) -> failure.Failure:
    """Print what another operator changed meanwhile, and return the failure to report."""
    latest = await accept.read_current(platform)
    if latest.is_error() or latest.ok.head is None or latest.ok.declared is None:
        text = "not accepted: another operator's change came first"
        return failure.Failure(codes.Code.PLATFORM_CONFLICT, text)
    old_preset = base.head.preset if base.head else ""
    differences = diff.diff(base.declared, old_preset, latest.ok.declared, latest.ok.head.preset)
    print("changed by another operator meanwhile:")
    print("\n".join(f"  {line}" for line in differences or ["nothing that differs"]))
    text = (
        f"not accepted: another operator's generation {latest.ok.head.generation}, preset "
        f'"{latest.ok.head.preset}", came first; look at the difference and run it again'
    )
    return failure.Failure(codes.Code.PLATFORM_CONFLICT, text)
