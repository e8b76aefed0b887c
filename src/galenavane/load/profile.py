"""Load profile with accounts, rates and lengths, read from an INI file."""

from __future__ import annotations

import configparser
import dataclasses
import math
import pathlib
import random

from galenavane.failure import code as codes
from galenavane.failure import failure

CHARACTERS_PER_TOKEN = 4


@dataclasses.dataclass(slots=True, frozen=True)
class Account:
    """Client account that sends requests.

    :ivar key: bearer key of the account.
    :ivar share: weight of the account relative to the other accounts.
    """

    name: str
    key: str
    share: float


@dataclasses.dataclass(slots=True, frozen=True)
class Profile:
    """Accounts, arrival rates and lengths of a load.

    :ivar model: model of the completions.
    :ivar service: plain service that jobs and lookups are sent to.
    :ivar completions: completions per second.
    :ivar jobs: non-idempotent jobs per second, each sent to two destinations.
    :ivar lookups: idempotent calls of the plain service per second.
    :ivar prompt_tokens: minimum and maximum prompt length, drawn uniformly on a log scale.
    :ivar answer_tokens: minimum and maximum answer length, drawn the same way.
    :ivar prefix_share: fraction of a prompt that is a shared prefix.
    :ivar prefixes: number of different shared prefixes.
    """

    accounts: list[Account]
    model: str = "scribe"
    service: str = "order-desk"
    completions: float = 10.0
    jobs: float = 2.0
    lookups: float = 0.0
    prompt_tokens: tuple[int, int] = (8, 8)
    answer_tokens: tuple[int, int] = (32, 32)
    prefix_share: float = 0.0
    prefixes: int = 1

    def draw_account(self, rng: random.Random) -> Account:
        """Draw the account of the next request by share."""
        weights = [account.share for account in self.accounts]
        return rng.choices(self.accounts, weights)[0]

    def draw_prompt(self, number: int, rng: random.Random) -> str:
        """Draw the prompt of the next request: a shared prefix and a unique rest.

        :param number: number of the request, which makes the rest unique.
        """
        length = _draw_log_uniform(self.prompt_tokens, rng) * CHARACTERS_PER_TOKEN
        prefix = f"prefix {rng.randrange(self.prefixes)} " * (length // 8 + 1)
        shared = prefix[: int(length * self.prefix_share)]
        unique = f"inscription {number} " * (length // 8 + 1)
        return shared + unique[: max(16, length - len(shared))]

    def draw_answer(self, rng: random.Random) -> int:
        """Draw the number of tokens of the next answer."""
        return _draw_log_uniform(self.answer_tokens, rng)


def _draw_log_uniform(bounds: tuple[int, int], rng: random.Random) -> int:
    low, high = bounds
    return round(low * math.pow(high / low, rng.random()))


def read(path: pathlib.Path) -> Profile:
    """Read a profile from an INI file.

    :raises failure.UserError: when the file is unreadable or invalid; the message names the file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text())
        return _parse_profile(parser)
    except (OSError, configparser.Error, ValueError, KeyError) as exc:
        text = f"{path}: {exc}"
        raise failure.UserError(failure.Failure(codes.Code.BAD_SETTING, text)) from None


def _parse_profile(parser: configparser.ConfigParser) -> Profile:
    accounts = [
        Account(section.removeprefix("account "), fields["key"], float(fields.get("share", "1")))
        for section, fields in parser.items()
        if section.startswith("account ")
    ]
    if not accounts:
        raise ValueError("no section [account NAME]")
    load_section = parser["load"]
    return Profile(
        accounts=accounts,
        model=load_section.get("model", "scribe"),
        service=load_section.get("service", "order-desk"),
        completions=load_section.getfloat("completions", 10.0),
        jobs=load_section.getfloat("jobs", 2.0),
        lookups=load_section.getfloat("lookups", 0.0),
        prompt_tokens=_parse_bounds(load_section.get("prompt_tokens", "8")),
        answer_tokens=_parse_bounds(load_section.get("answer_tokens", "32")),
        prefix_share=load_section.getfloat("prefix_share", 0.0),
        prefixes=load_section.getint("prefixes", 1),
    )


def _parse_bounds(text: str) -> tuple[int, int]:
    low, _, high = text.partition("-")
    bounds = int(low), int(high or low)
    if not 0 < bounds[0] <= bounds[1]:
        raise ValueError(f'"{text}" is not a range of tokens')
    return bounds
