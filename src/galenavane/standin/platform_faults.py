"""Fault switches of the stand-in platform."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct):
    """Faults of the platform, set by ``POST /faults``.

    :ivar down: calls get no response and have no effect.
    :ivar slow_seconds: delay before every call runs.
    :ivar lose_answers: writes take effect but their responses are lost.
    :ivar silent_watch: watches never return.
    :ivar calls_per_second: rate above which calls are refused with status 429; 0 sets no limit.
    :ivar list_lag_seconds: minimum age of a change before the list of instances shows it.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: bool = False
    silent_watch: bool = False
    calls_per_second: int = 0
    list_lag_seconds: float = 0.0
