"""``galenavane status``."""

from __future__ import annotations

import functools
import time

import msgspec
import trio

from galenavane.cli import status_report
from galenavane.net import address as addresses

WATCH_SECONDS = 2.0
_CLEAR_SCREEN = "\x1b[2J\x1b[H"


def status(
    *entries: addresses.Address,
    service: str = "",
    data_centre: str = "",
    incomplete: bool = False,
    groups: int = 40,
    json: bool = False,
    watch: bool = False,
) -> int:
    """Show groups, leases, generations, stranded accelerators and downtime as entries know them.

    Queries entries and not the platform, so that it works in an outage of the platform; everything
    that may be outdated is shown with its age. Exit code 0 when every wanted group is complete,
    else 1.

    Example: ``galenavane status 127.0.0.1:8001 127.0.0.1:8011 --incomplete``

    :param entries: IP:port of the operators' address of one or more entries
    :param service: list only groups of this service
    :param data_centre: list only groups of this data centre
    :param incomplete: list only incomplete groups
    :param groups: largest number of groups to list
    :param json: print the answers as JSON
    :param watch: print again every 2 s until interrupted
    """
    group_filter = status_report.GroupFilter(service, data_centre, incomplete, groups)
    while True:
        answers = trio.run(functools.partial(status_report.query_entries, entries))
        if watch:
            print(_CLEAR_SCREEN, end="")
        if json:
            print(msgspec.json.encode(answers).decode())
        else:
            print(status_report.render(answers, group_filter))
        if not watch:
            return 0 if status_report.is_healthy(answers) else 1
        time.sleep(WATCH_SECONDS)
