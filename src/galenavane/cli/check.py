"""``galenavane check``."""

from __future__ import annotations

import pathlib

from galenavane.config import read


def check(folder: pathlib.Path, /) -> int:
    """Check the declarations of a folder and change nothing.

    :param folder: folder with the INI files
    """
    declared = read.read_folder(folder)
    print(
        f"{folder}: {len(declared.services)} services, {len(declared.models)} models, "
        f"{len(declared.accounts)} accounts, {len(declared.presets)} presets: correct"
    )
    return 0
