"""Timing and success of one completion of a load."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """Timing and success of one completion.

    :ivar due_at: intended start, in seconds on the monotonic clock.
    :ivar first_seconds: time from the intended start to the first token; ``None`` without a token.
    :ivar is_whole: whether the whole answer was read and was the expected one.
    """

    due_at: float
    first_seconds: float | None
    is_whole: bool
