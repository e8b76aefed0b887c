"""``galenavane check``."""

from __future__ import annotations

import pathlib

from galenavane.config import canonical, declaration_files, sections
from galenavane.failure import failure


def check(folder: pathlib.Path, /) -> int:
    """Check the declarations of a folder without changing anything.

    :param folder: folder with the INI files
    """
    declared = declaration_files.read_folder(folder)
    sizes = sections.check_sizes(canonical.encode_sections(declared))
    if sizes.is_error():
        raise failure.UserError(sizes.error)
    print(
        f"{folder}: {len(declared.services)} services, {len(declared.models)} models, "
        f"{len(declared.accounts)} accounts, {len(declared.presets)} presets: correct"
    )
    return 0
