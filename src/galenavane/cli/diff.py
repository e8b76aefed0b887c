"""``galenavane diff``."""

from __future__ import annotations

import functools
import pathlib

import trio

from galenavane.cli import changes, configuration_change
from galenavane.config import declaration_files
from galenavane.net import address as addresses


def diff(folder: pathlib.Path, /, *, platform: addresses.Address, preset: str = "") -> int:
    """Print what ``apply`` would change, and change nothing.

    Exit code 1 says that there is a difference.

    :param folder: folder with the INI files
    :param platform: IP:port of the platform's object API
    :param preset: preset to be in force; the present one when left out
    """
    change = changes.make_apply(declaration_files.read_folder(folder), preset)
    return trio.run(functools.partial(configuration_change.run, platform, change, is_dry_run=True))
