"""Switches and sizes of the stand-in engine."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct):
    """State of the switches.

    :ivar checks_token: whether commands with an old fencing token are refused.
    :ivar slow_factor: a straggler takes this many times as long for a token.
    :ivar silent: streams stop without a word and stay open.
    :ivar event_lag_seconds: age of published cache events.
    :ivar event_loss_every: every so many events one is lost; 0 loses none.
    :ivar report_lag_seconds: age of the reported load.
    """

    checks_token: bool = True
    slow_factor: float = 1.0
    silent: bool = False
    event_lag_seconds: float = 0.5
    event_loss_every: int = 0
    report_lag_seconds: float = 1.0


class Parameters(msgspec.Struct, frozen=True):
    """How fast and how large the engine is.

    :ivar capacity: requests in one batch.
    :ivar token_seconds: time of one decoding step.
    :ivar prefill_tokens_per_second: speed of prefill.
    :ivar cache_blocks: prefix blocks that fit into the cache.
    :ivar load_seconds: time to load the weights.
    """

    capacity: int = 32
    token_seconds: float = 0.02
    prefill_tokens_per_second: float = 10_000.0
    cache_blocks: int = 4096
    load_seconds: float = 0.3
