"""A target's report on itself."""

from __future__ import annotations

import msgspec

from galenavane.fleet import target


class TargetReport(msgspec.Struct, frozen=True):
    """What a target reports, as of a few hundred milliseconds ago.

    :ivar target: the listed target, updated from the report.
    :ivar pace: factor of its times; over 1 is slow.
    :ivar command_count: number of commands that its process has accepted, ``None`` if not reported.
        A command that names an expected count is refused if the count has changed.
    """

    target: target.Target
    pace: float
    command_count: int | None
