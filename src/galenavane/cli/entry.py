"""``galenavane entry``."""

from __future__ import annotations

import pathlib

import trio

from galenavane.config import settings as settings_files
from galenavane.entry import process


def entry(*, settings: pathlib.Path) -> int:
    """Serve callers, operators and peers until SIGTERM.

    :param settings: INI file with the settings of this process
    """
    cfg = settings_files.load(settings)
    trio.run(process.run, cfg)
    return 0
