"""What a member's engine reports of itself."""

from __future__ import annotations

import msgspec

from galenavane.target import command


class Load(msgspec.Struct, frozen=True):
    """Load of a group's leader, older than the report by the engine's lag.

    :ivar running: requests in the batch.
    :ivar waiting: requests not yet in the batch.
    :ivar capacity: requests that fit into the batch.
    :ivar token_seconds: time between two tokens of a stream.
    :ivar prefill_tokens_per_second: speed of prefill.
    :ivar waiting_prefill_tokens: prompt tokens not yet computed.
    :ivar age_seconds: how long before the report this was the load.
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

    :ivar incarnation: new at every start of the engine.
    :ivar token: highest fencing token seen, also by engines that ignore it.
    :ivar ready: whether the weights are loaded.
    :ivar shard: weights that are in memory or being loaded, also of an engine in no group.
    :ivar loaded: whether the shard is in memory.
    :ivar complete: on a leader, whether it has lately heard every member.
    :ivar finished: requests that ended since the start, for counting unreported sends.
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
    """A prefix block that entered or left a leader's cache.

    :ivar number: counts events of one incarnation; a gap means lost events.
    :ivar block: hash of the prompt prefix up to the end of this block.
    """

    number: int
    block: int
    stored: bool


class CacheEvents(msgspec.Struct, frozen=True):
    """Cache events after the number that was asked for, late and perhaps with gaps."""

    incarnation: str
    events: list[CacheEvent]
