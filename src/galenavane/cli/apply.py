"""``galenavane apply``."""

from __future__ import annotations

import functools
import pathlib

import trio

from galenavane.cli import changes, configuration_change
from galenavane.config import declaration_files
from galenavane.net import address as addresses


def apply(folder: pathlib.Path, /, *, platform: addresses.Address, preset: str = "") -> int:
    """Print what a folder's declarations change, and put them in force.

    Changes nothing if they are already in force.

    :param folder: folder with the INI files
    :param platform: IP:port of the platform's object API
    :param preset: preset to put in force; if left out, the one in force stays
    """
    change = changes.make_apply(declaration_files.read_folder(folder), preset)
    return trio.run(functools.partial(configuration_change.run, platform, change))
