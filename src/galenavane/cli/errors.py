"""``galenavane errors``."""

from __future__ import annotations

from galenavane.failure import table


def errors() -> int:
    """Print the table of result codes."""
    print(table.render_page(), end="")
    return 0
