"""Runs a case: exit status 1 if the rule was broken, 0 if it held, 2 if it could not run."""

from __future__ import annotations

import asyncio
import logging
import os
import pathlib
import tempfile
import time
import traceback
from collections import abc

import client
import deployment
import replica as replicas
import store as stores

LIMIT_SECONDS = 115.0


class CannotRun(Exception):
    """The case could not be played, so it shows nothing."""


class Case:
    """What a case needs: a store, entries and a record.

    :ivar has_trouble: whether the disruption is played.
    """

    def __init__(self, folder: pathlib.Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.store = stores.Store()
        self.entries: list[deployment.Entry] = []
        self.lines: list[str] = []
        self.began_at = time.monotonic()
        self.folder = folder

    def note(self, text: str, at: float | None = None) -> None:
        """Add a line to the record."""
        seconds = (time.monotonic() if at is None else at) - self.began_at
        self.lines.append(f"{seconds:9.3f} s  {text}")

    def note_requests(
        self, sent: abc.Iterable[client.Sent], served: abc.Iterable[replicas.Replica]
    ) -> None:
        """Add a line for each request: when it was sent, run and answered, by whom and how."""
        runs: dict[str, list[str]] = {}
        for each in served:
            for at, attempt, _ in each.arrivals:
                runs.setdefault(attempt, []).append(f"{at - self.began_at:.3f} {each.id}")
        for request in sent:
            response = request.response
            ending = "complete" if response.is_complete else "cut"
            answer = f"{response.status} {ending}" if response.has_bytes else "no answer"
            self.note(
                f"sent {request.attempt} {request.path} {request.entry}; "
                f"run {', '.join(runs.get(request.attempt, ['never']))}; "
                f"{answer} {request.ended - self.began_at:.3f}",
                request.sent_at,
            )

    def add_entries(self, count: int) -> None:
        """Start entries, one in each zone in turn."""
        for number in range(count):
            entry = deployment.Entry(number, self.store.address, self.folder)
            self.entries.append(entry)
            entry.start()
            self.note(f"{entry.name} starts")

    async def wait_ready(self) -> None:
        """Wait until all entries are ready."""
        for entry in self.entries:
            if not await entry.wait_ready():
                raise CannotRun(f"{entry.name} does not become ready")
            self.note(f"{entry.name} is ready")


def run(record: pathlib.Path, play: abc.Callable[[Case], abc.Awaitable[bool]]) -> None:
    """Play a case and exit.

    :param record: file for what was sent, run and answered.
    :param play: returns whether the rule was broken.
    """
    status = 2
    # Channels that are open at the end of a case are not closed one by one.
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as temporary:
        case = Case(pathlib.Path(temporary))
        try:
            status = asyncio.run(_play(case, play))
        except CannotRun as exc:
            case.note(f"the case could not run: {exc}")
        except Exception:
            case.note(f"the case could not run: {traceback.format_exc()}")
        finally:
            for entry in case.entries:
                entry.kill()
        case.note(f"exit status {status}")
        lines = sorted(case.lines, key=lambda line: float(line.split()[0]))
        record.write_text("\n".join(lines) + "\n")
        print("\n".join(lines[-12:]), flush=True)
    # Ends without waiting for streams of the event loop that has been closed.
    os._exit(status)


async def _play(case: Case, play: abc.Callable[[Case], abc.Awaitable[bool]]) -> int:
    await case.store.start()
    is_broken = await asyncio.wait_for(play(case), LIMIT_SECONDS)
    return 1 if is_broken else 0
