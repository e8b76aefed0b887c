"""Adds up the downtime of groups and the time that accelerators are stranded."""

from __future__ import annotations

import dataclasses


@dataclasses.dataclass(slots=True, frozen=True)
class Sample:
    """State of the groups and accelerators of one data centre at one moment.

    :ivar wanted: number of groups that the preset in force requires.
    :ivar complete: number of these groups that can serve.
    :ivar idle: number of accelerators in no complete group.
    :ivar spare: number of idle accelerators that no wanted group needs; these are not stranded.
    """

    wanted: int
    complete: int
    idle: int
    spare: int

    @property
    def down(self) -> int:
        """Number of wanted groups that can't serve."""
        return max(0, self.wanted - self.complete)

    @property
    def stranded(self) -> int:
        """Number of accelerators that are idle because their group is incomplete."""
        return max(0, self.idle - self.spare)


@dataclasses.dataclass(slots=True)
class Meter:
    """Totals since the start of the process.

    :ivar last_sampled_at: monotonic time of the last sample in seconds.
    :ivar downtime_seconds: downtime, summed over groups.
    :ivar stranded_seconds: stranded time, summed over accelerators.
    :ivar last_sample: ``None`` before the first sample.
    """

    last_sampled_at: float
    downtime_seconds: float = 0.0
    stranded_seconds: float = 0.0
    last_sample: Sample | None = None


def add_sample(meter: Meter, sample: Sample, now: float) -> None:
    """Add the time since the last sample to the totals, as if that sample held until now.

    :param now: monotonic time of the new sample in seconds.
    """
    if meter.last_sample is not None:
        elapsed_seconds = now - meter.last_sampled_at
        meter.downtime_seconds += meter.last_sample.down * elapsed_seconds
        meter.stranded_seconds += meter.last_sample.stranded * elapsed_seconds
    meter.last_sample = sample
    meter.last_sampled_at = now
