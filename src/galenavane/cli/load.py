"""``galenavane load``."""

from __future__ import annotations

import functools
import pathlib

import msgspec
import trio

from galenavane.load import generator, report
from galenavane.net import address as addresses


def load(
    *,
    entries: list[addresses.Address],
    key: str,
    model: str = "scribe",
    service: str = "order-desk",
    seconds: float = 10.0,
    rate: float = 10.0,
    orders: float = 2.0,
    max_tokens: int = 32,
    output: pathlib.Path | None = None,
) -> int:
    """Send a load to entries and check every answer.

    :param entries: IP:port of one entry or more, used in turn
    :param key: bearer key of the client account
    :param model: model of the completions
    :param service: plain service that takes jobs
    :param seconds: how long requests arrive
    :param rate: completions a second
    :param orders: non-idempotent jobs a second, each sent through two entries
    :param max_tokens: tokens of an answer
    :param output: file for the result as JSON
    """
    plan = generator.Plan(entries, key, model, service, seconds, rate, orders, max_tokens, seed=1)
    result = trio.run(functools.partial(generator.run, plan))
    print(report.render(result))
    if output is not None:
        output.write_bytes(msgspec.json.encode(report.summarise(result)))
    return 1 if result.wrong else 0
