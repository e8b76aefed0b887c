"""Continuous batching, prefix cache and load of the stand-in engine."""

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
    """Who runs and who waits on a leader, and which prefixes are cached."""

    __slots__ = (
        "_cache",
        "_numbers",
        "_order",
        "_waiting",
        "events",
        "loads",
        "prefill_waiting",
        "running",
        "sizes",
    )

    def __init__(self, sizes: engine_faults.Sizes) -> None:
        self.sizes = sizes
        self.running = 0
        self.prefill_waiting = 0
        self.loads: collections.deque[tuple[float, report.Load]] = collections.deque(maxlen=200)
        self.events: collections.deque[tuple[float, report.CacheEvent]] = collections.deque(
            maxlen=10_000
        )
        self._waiting: list[tuple[int, int, trio.Event]] = []
        self._order = itertools.count()
        self._numbers = itertools.count(1)
        self._cache: collections.OrderedDict[int, None] = collections.OrderedDict()

    async def enter(self, priority: int) -> None:
        """Wait for a place in the batch; a lower priority number goes first."""
        if self.running < self.sizes.capacity:
            self.running += 1
            return
        turn = trio.Event()
        entry = (priority, next(self._order), turn)
        heapq.heappush(self._waiting, entry)
        try:
            await turn.wait()
        except trio.Cancelled:
            self._give_up(entry)
            raise

    def _give_up(self, entry: tuple[int, int, trio.Event]) -> None:
        if entry in self._waiting:
            self._waiting.remove(entry)
            heapq.heapify(self._waiting)
        else:
            self.leave()

    def leave(self) -> None:
        """Free a place and give it to the next in order."""
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()
        else:
            self.running -= 1

    async def prefill(self, prompt: str, now: float) -> None:
        """Compute a prompt less its cached prefix, and cache it."""
        blocks = prefix_blocks.hash_blocks(prompt)
        missing = [block for block in blocks if block not in self._cache]
        for block in blocks:
            self._store(block, now)
        size = prefix_blocks.BLOCK_CHARACTERS
        tokens = (len(missing) * size + len(prompt) % size) // CHARACTERS_PER_TOKEN
        self.prefill_waiting += tokens
        try:
            await trio.sleep(tokens / self.sizes.prefill_tokens_per_second)
        finally:
            self.prefill_waiting -= tokens

    def _store(self, block: int, now: float) -> None:
        if block not in self._cache:
            self._publish(block, True, now)
        self._cache[block] = None
        self._cache.move_to_end(block)
        if len(self._cache) > self.sizes.cache_blocks:
            old, _ = self._cache.popitem(last=False)
            self._publish(old, False, now)

    def _publish(self, block: int, is_stored: bool, now: float) -> None:
        event = report.CacheEvent(next(self._numbers), block, is_stored)
        self.events.append((now, event))

    def current_load(self, token_seconds: float) -> report.Load:
        """Return the load of this moment."""
        return report.Load(
            running=self.running,
            waiting=len(self._waiting),
            capacity=self.sizes.capacity,
            token_seconds=token_seconds,
            prefill_tokens_per_second=self.sizes.prefill_tokens_per_second,
            waiting_prefill_tokens=self.prefill_waiting,
        )

    def lagging_load(self, now: float, lag_seconds: float) -> report.Load:
        """Return the load as it was some time ago."""
        for at, load in reversed(self.loads):
            if at <= now - lag_seconds:
                return msgspec.structs.replace(load, age_seconds=now - at)
        return report.Load(capacity=self.sizes.capacity, age_seconds=lag_seconds)

    def published(
        self, after: int, now: float, faults: engine_faults.Faults
    ) -> list[report.CacheEvent]:
        """Return events after a number that are old enough, less those lost by a fault."""
        seen_until = now - faults.event_lag_seconds
        return [
            event
            for at, event in self.events
            if event.number > after
            and at <= seen_until
            and not (faults.event_loss_every and event.number % faults.event_loss_every == 0)
        ]

    def export_blocks(self) -> list[int]:
        """Return the cached blocks, oldest first."""
        return list(self._cache)

    def import_blocks(self, blocks: list[int], now: float) -> None:
        """Take in blocks that another engine exported."""
        for block in blocks:
            self._store(block, now)
