"""Command line of the soak test: ``python -m galenavane.soak``."""

from __future__ import annotations

import sys

import defopt

from galenavane.soak import campaign


def main(*, seed: int = 1, minutes: float = 1.0, keep_going: bool = False) -> int:
    """Run random fault schedules against simulated deployments and check the invariants.

    :param seed: seed of the first schedule; later schedules use the following numbers
    :param minutes: wall-clock time after which no further schedule starts
    :param keep_going: continue after a failure instead of shrinking its schedule and stopping
    """
    return campaign.run_seeds(seed, minutes, not keep_going)


if __name__ == "__main__":
    sys.exit(defopt.run(main))
