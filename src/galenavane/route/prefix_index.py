"""Indexes which groups probably hold which prompt prefixes in their caches."""

from __future__ import annotations

import collections
from collections import abc

from galenavane.target import report

MAX_BLOCKS = 100_000
MAX_GROUP_BLOCKS = 4_096
MAX_HOLDERS = 32
"""Maximum number of groups that a lookup returns."""
SAMPLING_INTERVAL = 4
"""One block in so many is indexed."""
UNCERTAIN_WEIGHT = 0.5
"""Weight of blocks that were stored before a gap in the cache events."""
_PROBE_DEPTHS = (1.0, 0.75, 0.5, 0.25)
"""Fractions of the deepest known prefix at which groups are looked up."""


class _GroupBlocks:
    """Indexed blocks of one group.

    :ivar last_number: number of the last cache event that was applied.
    :ivar gap_count: number of gaps in the numbers of its cache events.
    :ivar blocks: gap count at the time of storing by block, oldest first.
    """

    __slots__ = ("blocks", "gap_count", "incarnation", "last_number")

    def __init__(self) -> None:
        self.incarnation = ""
        self.last_number = 0
        self.gap_count = 0
        self.blocks: collections.OrderedDict[int, int] = collections.OrderedDict()


class PrefixIndex:
    """An index of bounded size from prefix blocks to groups.

    Only one block in ``SAMPLING_INTERVAL`` is indexed, chosen by its hash; it represents the blocks
    around it.
    """

    __slots__ = ("_groups", "_holders", "_max_blocks")

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._groups: dict[str, _GroupBlocks] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def last_number(self, group: str) -> int:
        """Return the number of the last event applied, after which to fetch more."""
        group_blocks = self._groups.get(group)
        return group_blocks.last_number if group_blocks else 0

    def apply_events(self, group: str, cache_events: report.CacheEvents) -> None:
        """Apply a group's cache events.

        A gap in their numbers makes all earlier blocks uncertain; a new incarnation has none.
        """
        group_blocks = self._find_or_add(group)
        if group_blocks.incarnation and cache_events.incarnation != group_blocks.incarnation:
            self.remove_group(group)
            group_blocks = self._find_or_add(group)
        group_blocks.incarnation = cache_events.incarnation
        for event in cache_events.events:
            self._apply_event(group, group_blocks, event)

    def _apply_event(
        self, group: str, group_blocks: _GroupBlocks, event: report.CacheEvent
    ) -> None:
        if event.number <= group_blocks.last_number:
            return
        if event.number != group_blocks.last_number + 1:
            group_blocks.gap_count += 1
        group_blocks.last_number = event.number
        if event.block % SAMPLING_INTERVAL:
            return
        if event.stored:
            self._store(group, group_blocks, event.block)
        else:
            self._remove(group, group_blocks, event.block)

    def add_expected(self, group: str, blocks: abc.Iterable[int]) -> None:
        """Add the blocks that a request sent now will leave in a group's cache."""
        group_blocks = self._find_or_add(group)
        for block in blocks:
            if block % SAMPLING_INTERVAL == 0:
                self._store(group, group_blocks, block)

    def cached_blocks(self, blocks: abc.Sequence[int]) -> dict[str, float]:
        """Return the number of leading blocks that groups probably hold, by group name.

        Uncertain blocks are weighted by ``UNCERTAIN_WEIGHT``.
        """
        ends = [
            position for position, block in enumerate(blocks, 1) if block % SAMPLING_INTERVAL == 0
        ]
        depth = self._find_depth(blocks, ends)
        counts: dict[str, float] = {}
        for fraction in _PROBE_DEPTHS:
            index = int(depth * fraction)
            if index == 0:
                break
            count = ends[index - 1]
            block = blocks[count - 1]
            for group in reversed(self._holders.get(block, {})):
                if len(counts) == MAX_HOLDERS:
                    return counts
                if group not in counts:
                    counts[group] = count * self._weight(group, block)
        return counts

    def remove_group(self, group: str) -> None:
        """Drop all blocks of a group."""
        group_blocks = self._groups.pop(group, None)
        if group_blocks is not None:
            for block in group_blocks.blocks:
                self._forget_holder(group, block)

    def retain(self, groups: abc.Container[str]) -> None:
        """Drop all groups except those given."""
        for name in [name for name in self._groups if name not in groups]:
            self.remove_group(name)

    def size(self) -> int:
        """Return the number of indexed blocks of all groups."""
        return sum(len(group_blocks.blocks) for group_blocks in self._groups.values())

    def _find_or_add(self, group: str) -> _GroupBlocks:
        group_blocks = self._groups.get(group)
        if group_blocks is None:
            group_blocks = self._groups[group] = _GroupBlocks()
        return group_blocks

    def _weight(self, group: str, block: int) -> float:
        group_blocks = self._groups[group]
        return 1.0 if group_blocks.blocks[block] == group_blocks.gap_count else UNCERTAIN_WEIGHT

    def _find_depth(self, blocks: abc.Sequence[int], ends: abc.Sequence[int]) -> int:
        """Return how many leading indexed blocks any group holds, by bisection."""
        low, high = 0, len(ends)
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[ends[middle - 1] - 1] in self._holders:
                low = middle
            else:
                high = middle - 1
        return low

    def _store(self, group: str, group_blocks: _GroupBlocks, block: int) -> None:
        is_known = block in group_blocks.blocks
        group_blocks.blocks[block] = group_blocks.gap_count
        group_blocks.blocks.move_to_end(block)
        if is_known:
            return
        self._holders.setdefault(block, {})[group] = None
        bound = min(MAX_GROUP_BLOCKS, max(1, self._max_blocks // len(self._groups)))
        while len(group_blocks.blocks) > bound:
            evicted, _ = group_blocks.blocks.popitem(last=False)
            self._forget_holder(group, evicted)

    def _remove(self, group: str, group_blocks: _GroupBlocks, block: int) -> None:
        if group_blocks.blocks.pop(block, None) is not None:
            self._forget_holder(group, block)

    def _forget_holder(self, group: str, block: int) -> None:
        holders = self._holders[block]
        del holders[group]
        if not holders:
            del self._holders[block]
