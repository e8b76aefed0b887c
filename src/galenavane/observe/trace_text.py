"""Describes unexpected exceptions in the log."""

from __future__ import annotations

import traceback

MAX_CHARACTERS = 2_000


def make(exc: BaseException) -> str:
    """Return the end of an exception's traceback."""
    return "".join(traceback.format_exception(exc))[-MAX_CHARACTERS:]
