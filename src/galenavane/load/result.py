"""Counts and latencies of a load."""

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
    """Counts and latencies of one load.

    :ivar answered: completions whose whole answer was right.
    :ivar resumed: times that a stream was resumed after its connection broke.
    :ivar wrong: completions that ended without an error, but with another text than expected.
    :ivar refused: failures by code name and outcome.
    :ivar placed: jobs that were answered with success.
    :ivar sent_jobs: all jobs that were sent.
    :ivar samples: all completions, in the order in which they ended.
    :ivar first_token: microseconds from the intended start to the first token.
    :ivar between_tokens: microseconds between two tokens of a stream.
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
