"""``galenavane load``."""

from __future__ import annotations

import functools
import pathlib

import msgspec
import trio

from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.load import balancer, destination, generator, report
from galenavane.load import plot as plots
from galenavane.load import profile as profiles
from galenavane.net import address as addresses
from galenavane.net import tcp


def load(
    *,
    entries: list[addresses.Address],
    key: str = "",
    profile: pathlib.Path | None = None,
    model: str = "scribe",
    service: str = "order-desk",
    seconds: float = 10.0,
    rate: float = 10.0,
    orders: float = 2.0,
    max_tokens: int = 32,
    seed: int = 1,
    output: pathlib.Path | None = None,
    plot: pathlib.Path | None = None,
    compare: pathlib.Path | None = None,
) -> int:
    """Send generated load to entries and check every response.

    :param entries: IP:port of one or more entries, used in turn
    :param key: bearer key of the client account; ignored with a profile
    :param profile: INI file with accounts, rates and lengths; replaces key, model, service, rate,
        orders and max_tokens
    :param model: model that completions are requested from
    :param service: plain service that takes jobs
    :param seconds: how long requests are sent
    :param rate: completions per second
    :param orders: non-idempotent jobs per second, each sent through two entries
    :param max_tokens: tokens of each completion
    :param seed: seed for arrival times and lengths
    :param output: file for the result as JSON
    :param plot: file for the latencies as SVG
    :param compare: JSON result of an earlier run to draw in the same plot
    """
    load_profile = profiles.Profile(
        [profiles.Account("load", key, 1.0)],
        model,
        service,
        rate,
        orders,
        answer_tokens=(max_tokens, max_tokens),
    )
    if profile is not None:
        load_profile = profiles.read(profile)
    earlier = _read_earlier(compare)
    destinations = [destination.Destination(address) for address in entries]
    net = balancer.make(tcp.make(), entries)
    plan = generator.Plan(destinations, load_profile, seconds, seed, net)
    result = trio.run(functools.partial(generator.run, plan))
    print(report.render(result))
    summary = report.summarise(result)
    if output is not None:
        output.write_bytes(msgspec.json.encode(summary))
    _draw(plot, summary, earlier)
    return 1 if result.wrong else 0


def _read_earlier(path: pathlib.Path | None) -> report.Summary | None:
    if path is None:
        return None
    try:
        return msgspec.json.decode(path.read_bytes(), type=report.Summary)
    except (OSError, msgspec.DecodeError) as exc:
        text = f"{path}: {exc}"
        raise failure.UserError(failure.Failure(codes.Code.BAD_SETTING, text)) from None


def _draw(
    path: pathlib.Path | None, summary: report.Summary, earlier: report.Summary | None
) -> None:
    if path is not None:
        path.write_text(plots.draw(summary, earlier))
