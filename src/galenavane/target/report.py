"""Reports and cache events of the engine of a group member."""

from __future__ import annotations

import msgspec

from galenavane.target import command


class Load(msgspec.Struct, frozen=True):
    """Load of a group's leader, older than the report by the engine's reporting lag.

    :ivar running: requests in the batch.
    :ivar waiting: requests that are not in the batch yet.
    :ivar capacity: number of batch slots.
    :ivar token_seconds: time between two tokens of a stream.
    :ivar prefill_tokens_per_second: prefill throughput.
    :ivar waiting_prefill_tokens: prompt tokens that are not prefilled yet.
    :ivar age_seconds: time between the measurement and the report.
    """

    running: int = 0
    waiting: int = 0
    capacity: int = 1
    token_seconds: float = 0.02
    prefill_tokens_per_second: float = 10_000.0
    waiting_prefill_tokens: int = 0
    age_seconds: float = 0.0


class Report(msgspec.Struct, frozen=True):
    """Current state of one member.

    :ivar incarnation: changes at every start of the engine.
    :ivar token: highest fencing token seen, reported also by engines that don't enforce it.
    :ivar ready: whether the weights are loaded.
    :ivar shard: name of the weights in memory or being loaded, also when in no group.
    :ivar loaded: whether the shard is in memory.
    :ivar complete: on a leader, whether every member has been in contact recently.
    :ivar finished: requests ended since the start, to compute the unreported ones.
    """

    instance: str
    incarnation: str
    token: int = 0
    group: str = ""
    epoch: int = 0
    rank: int = 0
    model: str = ""
    version: str = ""
    adapters: list[str] = []
    role: command.Role = command.Role.BOTH
    shard: str = ""
    loaded: bool = False
    ready: bool = False
    complete: bool = False
    load: Load = Load()
    finished: int = 0


class CacheEvent(msgspec.Struct, frozen=True):
    """A prefix block that was added to a leader's cache or evicted from it.

    :ivar number: sequence number in one incarnation; a gap means lost events.
    :ivar block: hash of the prompt prefix up to the end of this block.
    :ivar stored: whether the block was added.
    """

    number: int
    block: int
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after the requested number; they may be late and have gaps."""

    incarnation: str
    events: list[CacheEvent]
