"""Runs a simulation on a virtual clock so that one seed gives one run."""

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
    """Run to the end in virtual time; trio's scheduling order follows the seed too."""
    setattr(trio_run, _DETERMINISTIC, True)
    trio_run._r = random.Random(seed)
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(main, *args, clock=clock)
