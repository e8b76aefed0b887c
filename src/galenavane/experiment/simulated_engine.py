"""A small model of a group's engine on a virtual clock: batch, prefill, prefix cache."""

from __future__ import annotations

import collections
import dataclasses
import heapq
import itertools
from collections import abc

from galenavane.experiment import virtual_time
from galenavane.target import report

BLOCK_TOKENS = 16


@dataclasses.dataclass(slots=True, frozen=True)
class Sizes:
    """How fast and how large an engine is.

    :ivar capacity: requests in one batch.
    :ivar cache_blocks: prefix blocks of 16 tokens that fit into the cache.
    """

    capacity: int = 8
    token_seconds: float = 0.02
    prefill_tokens_per_second: float = 10_000.0
    cache_blocks: int = 4_096


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """One request at an engine.

    :ivar first: called with the time from submission to first token.
    :ivar done: called at the last token with ``True``, or with ``False`` when the engine is lost.
    """

    priority: int
    blocks: list[int]
    prompt_tokens: int
    answer_tokens: int
    first: abc.Callable[[], None]
    done: abc.Callable[[bool], None]


class Engine:
    """Continuous batching with serial prefill; a straggler does not report that it is one.

    :ivar slow_factor: how many times slower it is than it says.
    """

    __slots__ = (
        "_cache",
        "_events",
        "_numbers",
        "_order",
        "_prefill_free_at",
        "_running",
        "_waiting",
        "is_lost",
        "name",
        "sizes",
        "slow_factor",
        "time",
    )

    def __init__(self, name: str, sizes: Sizes, time: virtual_time.VirtualTime) -> None:
        self.name = name
        self.sizes = sizes
        self.time = time
        self.slow_factor = 1.0
        self.is_lost = False
        self._running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._order = itertools.count()
        self._prefill_free_at = 0.0
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: list[report.CacheEvent] = []
        self._numbers = itertools.count(1)

    def submit(self, job: Job) -> None:
        """Take in a request; a lost engine fails it."""
        if self.is_lost:
            job.done(False)
            return
        heapq.heappush(self._waiting, (job.priority, next(self._order), job))
        self._start_next()

    def lose(self) -> None:
        """Fail for good, with all requests in flight."""
        self.is_lost = True
        jobs = self._running + [job for _, _, job in self._waiting]
        self._running = []
        self._waiting = []
        for job in jobs:
            job.done(False)

    def load(self) -> report.Load:
        """Return the load of this moment."""
        rate = self.sizes.prefill_tokens_per_second
        backlog = max(0.0, self._prefill_free_at - self.time.now) * rate
        queued = sum(job.prompt_tokens for _, _, job in self._waiting)
        return report.Load(
            len(self._running),
            len(self._waiting),
            self.sizes.capacity,
            self.sizes.token_seconds,
            rate,
            int(backlog) + queued,
        )

    def take_events(self) -> list[report.CacheEvent]:
        """Return the cache events since the last call."""
        found = self._events
        self._events = []
        return found

    def _start_next(self) -> None:
        while self._waiting and len(self._running) < self.sizes.capacity:
            self._start(heapq.heappop(self._waiting)[2])

    def _start(self, job: Job) -> None:
        self._running.append(job)
        missing = sum(block not in self._cache for block in job.blocks)
        for block in job.blocks:
            self._store(block)
        tokens = missing * BLOCK_TOKENS + job.prompt_tokens % BLOCK_TOKENS
        seconds = tokens / self.sizes.prefill_tokens_per_second * self.slow_factor
        ready = max(self.time.now, self._prefill_free_at) + seconds
        self._prefill_free_at = ready
        step = self.sizes.token_seconds * self.slow_factor
        self.time.at(ready + step, lambda: self._first(job))
        self.time.at(ready + step * job.answer_tokens, lambda: self._finish(job))

    def _first(self, job: Job) -> None:
        if job in self._running:
            job.first()

    def _finish(self, job: Job) -> None:
        if job in self._running:
            self._running.remove(job)
            self._start_next()
            job.done(True)

    def _store(self, block: int) -> None:
        if block not in self._cache:
            self._events.append(report.CacheEvent(next(self._numbers), block, True))
        self._cache[block] = None
        self._cache.move_to_end(block)
        if len(self._cache) > self.sizes.cache_blocks:
            old, _ = self._cache.popitem(last=False)
            self._events.append(report.CacheEvent(next(self._numbers), old, False))
