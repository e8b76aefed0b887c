"""The invariants of the brief, checked while the program runs."""

from __future__ import annotations

import enum

from galenavane.observe import events


class Number(enum.IntEnum):
    """The points of "What must always hold", in the brief's order."""

    COMPLETE_GROUP = 1
    ONE_GROUP = 2
    OWN_ANSWER = 3
    NOT_RUN_IS_TRUE = 4
    AT_MOST_ONCE = 5
    LEAVING_GETS_NOTHING = 6
    PLANNED_STOP = 7
    CONFIGURATION = 8


class ViolationError(Exception):
    """An invariant does not hold; the request or step at hand is given up.

    :ivar number: which invariant.
    """

    def __init__(self, number: Number, text: str) -> None:
        super().__init__(f"invariant {number.value} ({number.name.lower()}): {text}")
        self.number = number


def check(number: Number, holds: bool, text: str) -> None:
    """Log and raise when an invariant does not hold.

    :raises ViolationError: when it does not hold.
    """
    if not holds:
        events.log("invariant.violated", number=number.value, name=number.name, text=text)
        raise ViolationError(number, text)
