"""Adds up group downtime and the time of stranded accelerators."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """What holds at one moment in one data centre.

    :ivar wanted: groups that the preset in force asks for.
    :ivar complete: groups among them that can serve.
    :ivar idle: accelerators in no complete group.
    :ivar spare: idle accelerators that no wanted group needs, which are not stranded.
    """

    wanted: int
    complete: int
    idle: int
    spare: int

    @property
    def down(self) -> int:
        """Wanted groups that can't serve."""
        return max(0, self.wanted - self.complete)

    @property
    def stranded(self) -> int:
        """Accelerators that are idle because their group is incomplete."""
        return max(0, self.idle - self.spare)


@dataclasses.dataclass(slots=True)
class Meter:
    """Totals since the start.

    :ivar downtime_seconds: sum over groups.
    :ivar stranded_seconds: sum over accelerators.
    """

    last_sampled_at: float
    downtime_seconds: float = 0.0
    stranded_seconds: float = 0.0
    last_sample: Sample | None = None


def add_sample(meter: Meter, sample: Sample, now: float) -> None:
    """Add the time since the last sample, during which that sample held."""
    if meter.last_sample is not None:
        elapsed_seconds = now - meter.last_sampled_at
        meter.downtime_seconds += meter.last_sample.down * elapsed_seconds
        meter.stranded_seconds += meter.last_sample.stranded * elapsed_seconds
    meter.last_sample = sample
    meter.last_sampled_at = now
