"""Runs a trio program in virtual time, reproducible from a seed."""

from __future__ import annotations

import random
import typing
from collections import abc

import trio
import trio.testing
from trio._core import _run as trio_run

_DETERMINISTIC = "_ALLOW_DETERMINISTIC_SCHEDULING"

_T = typing.TypeVar("_T")


def run(main: abc.Callable[..., abc.Awaitable[_T]], seed: int, *args: typing.Any) -> _T:
    """Run a function to its end in virtual time.

    :param main: async function that is called with ``args``.
    :param seed: seed of trio's scheduling order too, so that a run can be repeated exactly.
    """
    setattr(trio_run, _DETERMINISTIC, True)
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)
