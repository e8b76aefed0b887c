"""Requests with shared prefixes, unequal accounts and two priority classes."""

from __future__ import annotations

import bisect
import dataclasses
import itertools
import random
from collections import abc

from galenavane.route import blocks

CHARACTERS_PER_TOKEN = 4
PREFIXES = 500
ZIPF_EXPONENT = 1.1
PREFIX_TOKENS = (200, 1_400)
SUFFIX_TOKENS = (50, 750)
ANSWER_TOKENS = (16, 112)
ACCOUNT_SHARES = (0.40, 0.15, 0.15, 0.05, 0.05, 0.04, 0.04, 0.04, 0.04, 0.04)
HIGH_SHARE = 0.2
HIGH = 0
LOW = 1
DEADLINE_SECONDS = {HIGH: 0.4, LOW: 2.0}


@dataclasses.dataclass(slots=True)
class Request:
    """One request and what became of it.

    :ivar first_token_seconds: from arrival; ``None`` without an answer.
    """

    number: int
    arrived_at: float
    entry: int
    account: str
    priority: int
    prompt: str
    blocks: list[int]
    answer_tokens: int
    first_token_seconds: float | None = None
    is_refused: bool = False
    is_answered: bool = False
    granted_at: float | None = None

    def prompt_tokens(self) -> int:
        """Return the size of the prompt."""
        return len(self.prompt) // CHARACTERS_PER_TOKEN

    def is_good(self) -> bool:
        """Whether it was answered with its first token inside its deadline."""
        deadline = DEADLINE_SECONDS[self.priority]
        first = self.first_token_seconds
        return self.is_answered and first is not None and first <= deadline


def mean_request_seconds(token_seconds: float, prefill_tokens_per_second: float) -> float:
    """Return the mean time that a request holds a place when nothing is cached."""
    prompt = (sum(PREFIX_TOKENS) + sum(SUFFIX_TOKENS)) / 2
    answer = sum(ANSWER_TOKENS) / 2
    return answer * token_seconds + prompt / prefill_tokens_per_second


def generate(
    requests_per_second: float, until: float, entries: int, rng: random.Random
) -> abc.Iterator[Request]:
    """Generate requests in order of arrival."""
    texts = [_text(rng, rng.randint(*PREFIX_TOKENS)) for _ in range(PREFIXES)]
    weights = [1.0 / rank**ZIPF_EXPONENT for rank in range(1, PREFIXES + 1)]
    cumulative = list(itertools.accumulate(weights))
    names = [f"account-{number}" for number in range(len(ACCOUNT_SHARES))]
    now = 0.0
    for number in itertools.count():
        now += rng.expovariate(requests_per_second)
        if now >= until:
            return
        prefix = texts[bisect.bisect(cumulative, rng.random() * cumulative[-1])]
        prompt = prefix + _text(rng, rng.randint(*SUFFIX_TOKENS))
        yield Request(
            number,
            now,
            rng.randrange(entries),
            rng.choices(names, ACCOUNT_SHARES)[0],
            HIGH if rng.random() < HIGH_SHARE else LOW,
            prompt,
            blocks.hash_blocks(prompt),
            rng.randint(*ANSWER_TOKENS),
        )


def _text(rng: random.Random, tokens: int) -> str:
    unit = f"{rng.getrandbits(64):016x}"
    return unit * (tokens * CHARACTERS_PER_TOKEN // len(unit))
