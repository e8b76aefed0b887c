"""Fault switches and performance parameters of the stand-in engine."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct):
    """Faults of one engine, set by ``POST /faults``.

    :ivar checks_token: whether commands with an old fencing token are refused.
    :ivar slow_factor: factor on the time of a decoding step; above 1 the engine is a straggler.
    :ivar silent: streams stop without an error and stay open.
    :ivar event_lag_seconds: age at which cache events are published.
    :ivar event_loss_every: one in this many cache events is lost; 0 loses none.
    :ivar report_lag_seconds: minimum age of the reported load.
    """

    checks_token: bool = True
    slow_factor: float = 1.0
    silent: bool = False
    event_lag_seconds: float = 0.5
    event_loss_every: int = 0
    report_lag_seconds: float = 1.0


class Parameters(msgspec.Struct, frozen=True):
    """Speed and capacity of one engine.

    :ivar capacity: number of batch slots.
    :ivar token_seconds: time of one decoding step.
    :ivar prefill_tokens_per_second: prefill throughput.
    :ivar cache_blocks: maximum number of cached prefix blocks.
    :ivar load_seconds: time to load the weights.
    """

    capacity: int = 32
    token_seconds: float = 0.02
    prefill_tokens_per_second: float = 10_000.0
    cache_blocks: int = 4096
    load_seconds: float = 0.3
