"""``galenavane rollback``."""

from __future__ import annotations

import functools

import trio

from galenavane.cli import changes, configuration_change
from galenavane.net import address as addresses


def rollback(generation: int, /, *, platform: addresses.Address) -> int:
    """Put the configuration of an earlier generation in force as a new generation.

    :param generation: number of the earlier generation
    :param platform: IP:port of the platform's object API
    """
    return trio.run(
        functools.partial(configuration_change.run, platform, changes.make_rollback(generation))
    )
