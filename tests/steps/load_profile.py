"""Steps for load profiles and plots."""

from __future__ import annotations

import collections
import random
import xml.etree.ElementTree

from behave import then

from galenavane.failure import failure
from galenavane.load import plot, profile, report
from galenavane.load import result as results

PROFILE_START = "[account a]\nkey = k\n[load]\n"


@then("the example load profile draws {count:d} requests within its bounds")
def draw(context, count):
    example = profile.read(context.root / "examples" / "load" / "dodoma.ini")
    rng = random.Random(1)
    prefixes = collections.Counter()
    accounts = collections.Counter()
    for number in range(count):
        prompt = example.draw_prompt(number, rng)
        low, high = (tokens * profile.CHARACTERS_PER_TOKEN for tokens in example.prompt_tokens)
        assert low <= len(prompt) <= high, len(prompt)
        assert example.answer_tokens[0] <= example.draw_answer(rng) <= example.answer_tokens[1]
        prefixes[prompt[:9]] += 1
        accounts[example.draw_account(rng).name] += 1
    assert len(prefixes) <= example.prefixes
    assert accounts["ward-office"] > 3 * accounts["order-desk-clerk"]


@then('a load profile with "{line}" is rejected because of "{reason}"')
def reject(context, line, reason):
    path = context.folder / "load.ini"
    path.write_text(PROFILE_START + line + "\n")
    try:
        profile.read(path)
    except failure.UserError as exc:
        assert reason in exc.failure.message and str(path) in exc.failure.message
        return
    raise AssertionError("the profile was not rejected")


@then("two load summaries are drawn in one plot as well-formed SVG")
def draw_plot(context):
    result = results.Result()
    for value in range(1, 1000):
        result.first_token.record_value(value * 100)
        result.between_tokens.record_value(value * 10)
    summary = report.summarise(result)
    svg = xml.etree.ElementTree.fromstring(plot.draw(summary, summary))
    curves = [element for element in svg if element.tag.endswith("polyline")]
    assert len(curves) == 4
