"""``python -m galenavane.soak``."""

from __future__ import annotations

import sys

import defopt

from galenavane.soak import campaign


def main(*, seed: int = 1, minutes: float = 1.0, keep_going: bool = False) -> int:
    """Run random schedules of faults and check the invariants.

    :param seed: seed of the first schedule; the next ones follow
    :param minutes: real time to spend
    :param keep_going: go on after a failure instead of shortening its schedule
    """
    return campaign.run_seeds(seed, minutes, not keep_going)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
