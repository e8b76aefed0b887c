"""Which groups probably have which prompt prefixes in their caches."""

from __future__ import annotations

import collections
from collections import abc

from galenavane.target import report

MAX_BLOCKS = 100_000
MAX_GROUP_BLOCKS = 4_096
MAX_HOLDERS = 32
SAMPLED_BLOCKS = 4
DOUBTFUL_CREDIT = 0.5
_PROBES = (1.0, 0.75, 0.5, 0.25)


class _Held:
    """Blocks of one group, oldest first, each with the gap count of its arrival."""

    __slots__ = ("blocks", "gaps", "incarnation", "last_number")

    def __init__(self) -> None:
        self.incarnation = ""
        self.last_number = 0
        self.gaps = 0
        self.blocks: collections.OrderedDict[int, int] = collections.OrderedDict()


class PrefixIndex:
    """A bounded index from prefix block to groups.

    One block in ``SAMPLED_BLOCKS``, chosen by its hash, stands for its neighbours.
    """

    __slots__ = ("_groups", "_holders", "_max_blocks")

    def __init__(self, max_blocks: int = MAX_BLOCKS) -> None:
        self._max_blocks = max_blocks
        self._groups: dict[str, _Held] = {}
        self._holders: dict[int, dict[str, None]] = {}

    def last_number(self, group: str) -> int:
        """Return the number of the last event that was taken in, to ask for later ones."""
        held = self._groups.get(group)
        return held.last_number if held else 0

    def apply_events(self, group: str, found: report.CacheEvents) -> None:
        """Take in a group's cache events; a gap makes what was known before doubtful."""
        held = self._held(group)
        if held.incarnation and found.incarnation != held.incarnation:
            self.remove_group(group)
            held = self._held(group)
        held.incarnation = found.incarnation
        for event in found.events:
            self._take_event(group, held, event)

    def _take_event(self, group: str, held: _Held, event: report.CacheEvent) -> None:
        if event.number <= held.last_number:
            return
        if event.number != held.last_number + 1:
            held.gaps += 1
        held.last_number = event.number
        if event.block % SAMPLED_BLOCKS:
            return
        if event.stored:
            self._store(group, held, event.block)
        else:
            self._remove(group, held, event.block)

    def add_expected(self, group: str, blocks: abc.Iterable[int]) -> None:
        """Note blocks that a request now sent will leave in a group's cache."""
        held = self._held(group)
        for block in blocks:
            if block % SAMPLED_BLOCKS == 0:
                self._store(group, held, block)

    def cached_blocks(self, blocks: abc.Sequence[int]) -> dict[str, float]:
        """Return how many leading blocks groups probably hold; doubtful ones count half."""
        ends = [at for at, block in enumerate(blocks, 1) if block % SAMPLED_BLOCKS == 0]
        deepest = self._deepest(blocks, ends)
        found: dict[str, float] = {}
        for part in _PROBES:
            place = int(deepest * part)
            if place == 0:
                break
            count = ends[place - 1]
            block = blocks[count - 1]
            for group in reversed(self._holders.get(block, {})):
                if len(found) == MAX_HOLDERS:
                    return found
                if group not in found:
                    found[group] = count * self._credit(group, block)
        return found

    def remove_group(self, group: str) -> None:
        """Forget a group."""
        held = self._groups.pop(group, None)
        if held is not None:
            for block in held.blocks:
                self._forget_holder(group, block)

    def retain(self, groups: abc.Container[str]) -> None:
        """Forget all groups but those given."""
        for name in [name for name in self._groups if name not in groups]:
            self.remove_group(name)

    def size(self) -> int:
        """Return the number of blocks held, over all groups."""
        return sum(len(held.blocks) for held in self._groups.values())

    def _held(self, group: str) -> _Held:
        held = self._groups.get(group)
        if held is None:
            held = self._groups[group] = _Held()
        return held

    def _credit(self, group: str, block: int) -> float:
        held = self._groups[group]
        return 1.0 if held.blocks[block] == held.gaps else DOUBTFUL_CREDIT

    def _deepest(self, blocks: abc.Sequence[int], ends: abc.Sequence[int]) -> int:
        """Return how many sampled blocks of the prompt some group holds, by bisection."""
        low, high = 0, len(ends)
        while low < high:
            middle = (low + high + 1) // 2
            if blocks[ends[middle - 1] - 1] in self._holders:
                low = middle
            else:
                high = middle - 1
        return low

    def _store(self, group: str, held: _Held, block: int) -> None:
        is_known = block in held.blocks
        held.blocks[block] = held.gaps
        held.blocks.move_to_end(block)
        if is_known:
            return
        self._holders.setdefault(block, {})[group] = None
        bound = min(MAX_GROUP_BLOCKS, max(1, self._max_blocks // len(self._groups)))
        while len(held.blocks) > bound:
            old, _ = held.blocks.popitem(last=False)
            self._forget_holder(group, old)

    def _remove(self, group: str, held: _Held, block: int) -> None:
        if held.blocks.pop(block, None) is not None:
            self._forget_holder(group, block)

    def _forget_holder(self, group: str, block: int) -> None:
        names = self._holders[block]
        del names[group]
        if not names:
            del self._holders[block]
