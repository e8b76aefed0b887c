"""Checks the system's invariants at run time."""

from __future__ import annotations

import enum

from galenavane.observe import events


class Number(enum.IntEnum):
    """Invariants, numbered as in the list "What must always hold" of the specification."""

    COMPLETE_GROUP = 1
    ONE_GROUP = 2
    OWN_ANSWER = 3
    NOT_RUN_IS_TRUE = 4
    AT_MOST_ONCE = 5
    LEAVING_GETS_NOTHING = 6
    PLANNED_STOP = 7
    CONFIGURATION = 8


class ViolationError(Exception):
    """An invariant is violated; the current request or step is aborted.

    :ivar number: the violated invariant.
    """

    def __init__(self, number: Number, text: str) -> None:
        super().__init__(f"invariant {number.value} ({number.name.lower()}): {text}")
        self.number = number


def check(number: Number, holds: bool, text: str) -> None:
    """Log and raise when an invariant is violated.

    :param holds: whether the invariant holds.
    :param text: description of the violation, for the log and the error.
    :raises ViolationError: when ``holds`` is false.
    """
    if not holds:
        events.log("invariant.violated", number=number.value, name=number.name, text=text)
        raise ViolationError(number, text)
