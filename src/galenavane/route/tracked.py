"""One group as this entry tracks it between two reports."""

from __future__ import annotations

import dataclasses

from galenavane.route import group_facts


@dataclasses.dataclass(slots=True)
class Tracked:
    """A group with what was derived from its last report.

    :ivar unknown_requests: reported requests that neither this entry nor a heard peer sent.
    :ivar prefill_until: monotonic time at which all known prompts are computed.
    """

    facts: group_facts.GroupFacts
    unknown_requests: int
    prefill_until: float
