"""``galenavane apply``."""

from __future__ import annotations

import pathlib

import expression
import trio

from galenavane.cli import acceptance
from galenavane.config import accept, read
from galenavane.failure import failure
from galenavane.net import address as addresses


def apply(folder: pathlib.Path, /, *, platform: addresses.Address, preset: str = "") -> int:
    """Put the declarations of a folder in force.

    :param folder: folder with the INI files
    :param platform: IP:port of the platform's object API
    :param preset: preset to be in force; the present one when left out
    """
    declared = read.read_folder(folder)

    def change(
        current: accept.Current,
    ) -> expression.Result[acceptance.Wanted, failure.Failure]:
        name = preset or (current.head.preset if current.head else declared.presets[0].name)
        return acceptance.check_preset(declared, name)

    head = trio.run(acceptance.run, platform, change)
    print(f'accepted: generation {head.generation}, preset "{head.preset}"')
    return 0
