"""Runs the command line with a wrong version of one decision, or unchanged: ``python -m``."""

from __future__ import annotations

import sys

from galenavane import run
from galenavane.soak import mutants

UNCHANGED = "-"


def main() -> int:
    """Swap in the wrong version named first and run the rest of the command line."""
    name = sys.argv.pop(1)
    if name == UNCHANGED:
        return run.main()
    mutant = next(candidate for candidate in mutants.ALL if candidate.name == name)
    with mutants.applied(mutant):
        return run.main()


if __name__ == "__main__":
    sys.exit(main())
