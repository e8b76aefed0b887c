"""Continuous batching, prefix cache and load samples of the stand-in engine."""

from __future__ import annotations

import collections
import heapq
import itertools

import msgspec
import trio

from galenavane.route import blocks as prefix_blocks
from galenavane.standin import engine_faults
from galenavane.target import report

CHARACTERS_PER_TOKEN = 4


class Batch:
    """Batch slots, waiting requests and cached prefix blocks of one leader.

    :ivar running: requests that hold a batch slot.
    :ivar waiting_prefill_tokens: prompt tokens that are not prefilled yet.
    :ivar load_samples: latest loads with the time of each, in seconds on the monotonic clock.
    :ivar cache_events: latest cache events with the time of each, on the same clock.
    """

    __slots__ = (
        "_arrival_numbers",
        "_cache",
        "_event_numbers",
        "_waiting",
        "cache_events",
        "load_samples",
        "parameters",
        "running",
        "waiting_prefill_tokens",
    )

    def __init__(self, parameters: engine_faults.Parameters) -> None:
        self.parameters = parameters
        self.running = 0
        self.waiting_prefill_tokens = 0
        self.load_samples: collections.deque[tuple[float, report.Load]] = collections.deque(
            maxlen=200
        )
        self.cache_events: collections.deque[tuple[float, report.CacheEvent]] = collections.deque(
            maxlen=10_000
        )
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._arrival_numbers = itertools.count()
        self._event_numbers = itertools.count(1)
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()

    async def acquire_slot(self, priority: int) -> None:
        """Wait for a batch slot; a lower priority number goes first, then the earlier arrival."""
        if self.running < self.parameters.capacity:
            self.running += 1
            return
        granted = trio.Event()
        waiter = (priority, next(self._arrival_numbers), granted)
        heapq.heappush(self._waiting, waiter)
        try:
            await granted.wait()
        except trio.Cancelled:
            self._abandon_wait(waiter)
            raise

    def _abandon_wait(self, waiter: tuple[int, int, trio.Event]) -> None:
        if waiter in self._waiting:
            self._waiting.remove(waiter)
            heapq.heapify(self._waiting)
        else:
            self.release_slot()

    def release_slot(self) -> None:
        """Release a batch slot, or hand it to the next waiting request."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1

    async def prefill(self, prompt: str, now: float) -> None:
        """Take the time to prefill the uncached blocks of a prompt, and cache all of its blocks."""
        blocks = prefix_blocks.hash_blocks(prompt)
        uncached = [block for block in blocks if block not in self._cache]
        for block in blocks:
            self._cache_block(block, now)
        block_characters = prefix_blocks.BLOCK_CHARACTERS
        tokens = (
            len(uncached) * block_characters + len(prompt) % block_characters
        ) // CHARACTERS_PER_TOKEN
        self.waiting_prefill_tokens += tokens
        try:
            await trio.sleep(tokens / self.parameters.prefill_tokens_per_second)
        finally:
            self.waiting_prefill_tokens -= tokens

    def _cache_block(self, block: int, now: float) -> None:
        if block not in self._cache:
            self._record_event(block, True, now)
        self._cache[block] = None
        self._cache.move_to_end(block)
        if len(self._cache) > self.parameters.cache_blocks:
            evicted, _ = self._cache.popitem(last=False)
            self._record_event(evicted, False, now)

    def _record_event(self, block: int, is_stored: bool, now: float) -> None:
        event = report.CacheEvent(next(self._event_numbers), block, is_stored)
        self.cache_events.append((now, event))

    def measure_load(self, token_seconds: float) -> report.Load:
        """Return the current load.

        :param token_seconds: time of one decoding step, to be reported.
        """
        return report.Load(
            running=self.running,
            waiting=len(self._waiting),
            capacity=self.parameters.capacity,
            token_seconds=token_seconds,
            prefill_tokens_per_second=self.parameters.prefill_tokens_per_second,
            waiting_prefill_tokens=self.waiting_prefill_tokens,
        )

    def find_lagged_load(self, now: float, lag_seconds: float) -> report.Load:
        """Return the latest sample that is at least ``lag_seconds`` old, or an idle load."""
        for sampled_at, load in reversed(self.load_samples):
            if sampled_at <= now - lag_seconds:
                return msgspec.structs.replace(load, age_seconds=now - sampled_at)
        return report.Load(capacity=self.parameters.capacity, age_seconds=lag_seconds)

    def select_published_events(
        self, after: int, now: float, faults: engine_faults.Faults
    ) -> list[report.CacheEvent]:
        """Return the cache events that a poll gets.

        :param after: highest event number that the caller already has.
        :param faults: sets the age at which events are published and which ones are lost.
        """
        published_until = now - faults.event_lag_seconds
        return [
            event
            for recorded_at, event in self.cache_events
            if event.number > after
            and recorded_at <= published_until
            and not (faults.event_loss_every and event.number % faults.event_loss_every == 0)
        ]

    def export_blocks(self) -> list[int]:
        """Return the hashes of the cached blocks, least recently used first."""
        return list(self._cache)

    def import_blocks(self, blocks: list[int], now: float) -> None:
        """Cache blocks that another engine exported."""
        for block in blocks:
            self._cache_block(block, now)
