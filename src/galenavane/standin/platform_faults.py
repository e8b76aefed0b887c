"""Switches that make the stand-in platform misbehave."""

from __future__ import annotations

import msgspec


class Faults(msgspec.Struct):
    """State of the switches.

    :ivar down: calls get no answer and have no effect.
    :ivar slow_seconds: added to every call.
    :ivar lose_answers: writes take effect but their answers are lost.
    :ivar silent_watch: watches never return.
    :ivar calls_per_second: calls over it are refused; 0 sets no limit.
    :ivar list_lag_seconds: age of the list of instances.
    """

    down: bool = False
    slow_seconds: float = 0.0
    lose_answers: bool = False
    silent_watch: bool = False
    calls_per_second: int = 0
    list_lag_seconds: float = 0.0
