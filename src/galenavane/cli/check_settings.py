"""``galenavane check-settings``."""

from __future__ import annotations

import pathlib
import sys

from galenavane.config import settings as settings_files
from galenavane.gateway import settings


def check_settings(*files: pathlib.Path) -> int:
    """Check settings files of entries on a platform without changing anything.

    :param files: settings files as the platform renders them
    """
    error_count = 0
    for path in files:
        for error in settings_files.find_errors(path, settings.ALL):
            error_count += 1
            print(f"error {error.failure.code.value}: {error}", file=sys.stderr)
    if error_count:
        return 1
    print(f"{len(files)} settings files: correct")
    return 0
