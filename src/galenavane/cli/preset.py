"""``galenavane preset``."""

from __future__ import annotations

import functools

import trio

from galenavane.cli import changes, configuration_change
from galenavane.net import address as addresses


def preset(name: str, /, *, platform: addresses.Address) -> int:
    """Switch the preset in force.

    :param name: a declared preset
    :param platform: IP:port of the platform's object API
    """
    return trio.run(
        functools.partial(configuration_change.run, platform, changes.make_preset_switch(name))
    )
