"""Starts an entry process on the users' platform."""

from __future__ import annotations

import gc
import importlib
import signal
import sys


def main() -> int:
    """Run an entry process, and return the exit status.

    Imports create many objects that stay. Looking for garbage among them meanwhile would take a
    sixth of the start's processor time, and every process pays that at each restart.
    """
    # The default action ends the process. The settings are read after this.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    gc.disable()
    run = importlib.import_module("galenavane.platform.run")
    gc.freeze()
    gc.enable()
    return int(run.main())


if __name__ == "__main__":
    sys.exit(main())
