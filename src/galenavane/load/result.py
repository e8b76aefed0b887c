"""What a load saw."""

from __future__ import annotations

import collections
import dataclasses

from hdrh import histogram

from galenavane.load import sample

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 120_000_000
SIGNIFICANT_DIGITS = 3


def make_histogram() -> histogram.HdrHistogram:
    """Return an empty histogram of microseconds."""
    return histogram.HdrHistogram(LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS)


@dataclasses.dataclass(slots=True)
class Result:
    """Counts and latencies.

    :ivar resumed: streams that went on at another entry after their connection broke.
    :ivar wrong: answers that were not whole or not their request's own.
    :ivar refused: failures by code name and outcome.
    :ivar placed: jobs that were answered with success.
    :ivar samples: every completion in the order in which they ended.
    """

    answered: int = 0
    resumed: int = 0
    wrong: int = 0
    placed: list[str] = dataclasses.field(default_factory=list)
    sent_jobs: list[str] = dataclasses.field(default_factory=list)
    samples: list[sample.Sample] = dataclasses.field(default_factory=list)
    refused: collections.Counter[str] = dataclasses.field(default_factory=collections.Counter)
    first_token: histogram.HdrHistogram = dataclasses.field(default_factory=make_histogram)
    between_tokens: histogram.HdrHistogram = dataclasses.field(default_factory=make_histogram)
