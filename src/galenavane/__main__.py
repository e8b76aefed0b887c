"""Run the command line with ``python -m galenavane``."""

from __future__ import annotations

import galenavane.run as run

if __name__ == "__main__":
    run.main()
