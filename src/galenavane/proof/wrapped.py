"""Runs the galenavane command line unchanged or with a mutant applied."""

from __future__ import annotations

import sys

from galenavane import run
from galenavane.soak import mutants

UNCHANGED = "-"


def main() -> int:
    """Run the command line with the mutant that the first argument names, or unchanged."""
    name = sys.argv.pop(1)
    if name == UNCHANGED:
        return run.main()
    mutant = next(candidate for candidate in mutants.ALL if candidate.name == name)
    with mutants.applied(mutant):
        return run.main()


if __name__ == "__main__":
    sys.exit(main())
