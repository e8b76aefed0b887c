"""One completion of a load."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """When a completion was due and how it went.

    :ivar due_at: intended start, monotonic time in seconds.
    :ivar first_seconds: from the intended start to the first token; ``None`` without a token.
    :ivar is_whole: whether the answer was whole and its request's own.
    """

    due_at: float
    first_seconds: float | None
    is_whole: bool
