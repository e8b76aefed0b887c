"""Models the batching, prefill and prefix cache of a group's engine on a virtual clock."""

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
class EngineSpec:
    """Speed and size of an engine.

    :ivar capacity: maximum number of requests in a batch.
    :ivar token_seconds: time per output token.
    :ivar cache_blocks: number of blocks of ``BLOCK_TOKENS`` tokens that fit into the prefix cache.
    """

    capacity: int = 8
    token_seconds: float = 0.02
    prefill_tokens_per_second: float = 10_000.0
    cache_blocks: int = 4_096


@dataclasses.dataclass(slots=True, eq=False)
class Job:
    """A request at an engine.

    :ivar priority: lower numbers are started first.
    :ivar block_hashes: hashes of the prompt's blocks in order.
    :ivar on_first_token: called at the first token.
    :ivar on_done: called with ``True`` at the last token, or with ``False`` when the engine fails.
    """

    priority: int
    block_hashes: list[int]
    prompt_tokens: int
    output_tokens: int
    on_first_token: abc.Callable[[], None]
    on_done: abc.Callable[[bool], None]


class Engine:
    """An engine with continuous batching, one prefill at a time and an LRU prefix cache.

    Its reported load has the speed of its specification, also when it is slower.

    :ivar slowdown_factor: how many times slower than its specification it is.
    :ivar has_failed: whether it has failed permanently.
    """

    __slots__ = (
        "_cache",
        "_event_numbers",
        "_events",
        "_prefill_free_at",
        "_running",
        "_submission_numbers",
        "_waiting",
        "clock",
        "has_failed",
        "name",
        "slowdown_factor",
        "spec",
    )

    def __init__(self, name: str, spec: EngineSpec, clock: virtual_time.VirtualTime) -> None:
        self.name = name
        self.spec = spec
        self.clock = clock
        self.slowdown_factor = 1.0
        self.has_failed = False
        self._running: list[Job] = []
        self._waiting: list[tuple[int, int, Job]] = []
        self._submission_numbers = itertools.count()
        self._prefill_free_at = 0.0
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._events: list[report.CacheEvent] = []
        self._event_numbers = itertools.count(1)

    def submit(self, job: Job) -> None:
        """Queue a request; a failed engine reports it as failed at once."""
        if self.has_failed:
            job.on_done(False)
            return
        heapq.heappush(self._waiting, (job.priority, next(self._submission_numbers), job))
        self._start_queued()

    def fail(self) -> None:
        """Fail permanently, together with all running and queued requests."""
        self.has_failed = True
        jobs = self._running + [job for _, _, job in self._waiting]
        self._running = []
        self._waiting = []
        for job in jobs:
            job.on_done(False)

    def measure_load(self) -> report.Load:
        """Return the current load as the engine reports it."""
        rate = self.spec.prefill_tokens_per_second
        backlog = max(0.0, self._prefill_free_at - self.clock.now) * rate
        queued = sum(job.prompt_tokens for _, _, job in self._waiting)
        return report.Load(
            len(self._running),
            len(self._waiting),
            self.spec.capacity,
            self.spec.token_seconds,
            rate,
            int(backlog) + queued,
        )

    def drain_events(self) -> list[report.CacheEvent]:
        """Return and clear the cache events since the last call."""
        events = self._events
        self._events = []
        return events

    def _start_queued(self) -> None:
        while self._waiting and len(self._running) < self.spec.capacity:
            self._start_job(heapq.heappop(self._waiting)[2])

    def _start_job(self, job: Job) -> None:
        self._running.append(job)
        uncached_blocks = sum(block not in self._cache for block in job.block_hashes)
        for block in job.block_hashes:
            self._store_block(block)
        prefill_tokens = uncached_blocks * BLOCK_TOKENS + job.prompt_tokens % BLOCK_TOKENS
        prefill_seconds = (
            prefill_tokens / self.spec.prefill_tokens_per_second * self.slowdown_factor
        )
        prefill_done_at = max(self.clock.now, self._prefill_free_at) + prefill_seconds
        self._prefill_free_at = prefill_done_at
        token_seconds = self.spec.token_seconds * self.slowdown_factor
        self.clock.schedule_at(prefill_done_at + token_seconds, lambda: self._emit_first_token(job))
        self.clock.schedule_at(
            prefill_done_at + token_seconds * job.output_tokens, lambda: self._finish_job(job)
        )

    def _emit_first_token(self, job: Job) -> None:
        if job in self._running:
            job.on_first_token()

    def _finish_job(self, job: Job) -> None:
        if job in self._running:
            self._running.remove(job)
            self._start_queued()
            job.on_done(True)

    def _store_block(self, block: int) -> None:
        if block not in self._cache:
            self._events.append(report.CacheEvent(next(self._event_numbers), block, True))
        self._cache[block] = None
        self._cache.move_to_end(block)
        if len(self._cache) > self.spec.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._events.append(report.CacheEvent(next(self._event_numbers), evicted, False))
