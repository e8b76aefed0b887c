"""Generates requests with shared prefixes, unequal accounts and two priority classes."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import random
from collections import abc

from galenavane.route import blocks

CHARACTERS_PER_TOKEN = 4
PREFIX_COUNT = 500
ZIPF_EXPONENT = 1.1
PREFIX_TOKENS_RANGE = (200, 1_400)
SUFFIX_TOKENS_RANGE = (50, 750)
OUTPUT_TOKENS_RANGE = (16, 112)
ACCOUNT_SHARES = (0.40, 0.15, 0.15, 0.05, 0.05, 0.04, 0.04, 0.04, 0.04, 0.04)
HIGH_SHARE = 0.2
HIGH = 0
LOW = 1
DEADLINE_SECONDS = {HIGH: 0.4, LOW: 2.0}


@dataclasses.dataclass(slots=True)
class Request:
    """A request and its outcome.

    Times are virtual, in seconds.

    :ivar entry_number: number of the entry that receives it.
    :ivar block_hashes: hashes of the prompt's blocks in order.
    :ivar first_token_seconds: time from arrival to first token; ``None`` without one.
    :ivar granted_at: when it was first granted a group.
    """

    number: int
    arrived_at: float
    entry_number: int
    account: str
    priority: int
    prompt: str
    block_hashes: list[int]
    output_tokens: int
    first_token_seconds: float | None = None
    is_refused: bool = False
    is_answered: bool = False
    granted_at: float | None = None

    def count_prompt_tokens(self) -> int:
        """Return the number of tokens of the prompt."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN

    def is_answered_in_time(self) -> bool:
        """Return whether it was answered with its first token before the deadline."""
        deadline = DEADLINE_SECONDS[self.priority]
        first_token_seconds = self.first_token_seconds
        return (
            self.is_answered and first_token_seconds is not None and first_token_seconds <= deadline
        )


def compute_mean_request_seconds(token_seconds: float, prefill_tokens_per_second: float) -> float:
    """Return the mean time that a request takes in a batch when nothing is cached."""
    mean_prompt_tokens = (sum(PREFIX_TOKENS_RANGE) + sum(SUFFIX_TOKENS_RANGE)) / 2
    mean_output_tokens = sum(OUTPUT_TOKENS_RANGE) / 2
    return mean_output_tokens * token_seconds + mean_prompt_tokens / prefill_tokens_per_second


def generate(
    requests_per_second: float, until: float, entry_count: int, rng: random.Random
) -> abc.Iterator[Request]:
    """Generate requests with Poisson arrivals, in order of arrival.

    :param until: virtual time in seconds at which arrivals end.
    """
    prefixes = [_make_text(rng, rng.randint(*PREFIX_TOKENS_RANGE)) for _ in range(PREFIX_COUNT)]
    weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, PREFIX_COUNT + 1)]
    cumulative_weights = list(itertools.accumulate(weights))
    account_names = [f"account-{number}" for number in range(len(ACCOUNT_SHARES))]
    now = 0.0
    for number in itertools.count():
        now += rng.expovariate(requests_per_second)
        if now >= until:
            return
        prefix = prefixes[bisect.bisect(cumulative_weights, rng.random() * cumulative_weights[-1])]
        prompt = prefix + _make_text(rng, rng.randint(*SUFFIX_TOKENS_RANGE))
        yield Request(
            number,
            now,
            rng.randrange(entry_count),
            rng.choices(account_names, ACCOUNT_SHARES)[0],
            HIGH if rng.random() < HIGH_SHARE else LOW,
            prompt,
            blocks.hash_blocks(prompt),
            rng.randint(*OUTPUT_TOKENS_RANGE),
        )


def _make_text(rng: random.Random, tokens: int) -> str:
    unit = f"{rng.getrandbits(64):016x}"
    return unit * (tokens * CHARACTERS_PER_TOKEN // len(unit))
