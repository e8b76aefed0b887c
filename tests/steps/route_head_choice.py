"""Steps for the choice of a head."""

from __future__ import annotations

import collections
import random

from behave import given, then

from galenavane.route import head_choice

LIMIT = 10


@given('heads "a", "b" and "c" with {loads} requests of at most 10')
def make_heads(context, loads):
    context.candidates = [
        head_choice.Candidate(head, int(load), True)
        for head, load in zip("abc", loads.split(), strict=True)
    ]
    context.probed = set()


@given('a probe waits at heads "{heads}"')
def add_probes(context, heads):
    context.probed = set(heads.split())


@given('a probe waits at heads ""')
def add_no_probes(context):
    context.probed = set()


def check(context, tried, picked):
    """Check the choice for a request that was sent to some heads."""
    choice = head_choice.pick(
        context.candidates, set(tried.split()), 3, LIMIT, random.Random(1), context.probed
    )
    assert choice.head == picked, choice


@then('a request that was sent to heads "{tried}" goes to head "{picked}"')
def check_tried(context, tried, picked):
    check(context, tried, picked)


@then('a request that was sent to heads "" goes to head "{picked}"')
def check_new(context, picked):
    check(context, "", picked)


@then('{count:d} probes go to heads "{one}" and "{other}", at least {least:d} to each')
def check_spread(context, count, one, other, least):
    picked = collections.Counter(
        head_choice.pick(
            context.candidates, set(), 3, LIMIT, random.Random(seed), is_random=True
        ).head
        for seed in range(count)
    )
    assert set(picked) == {one, other} and min(picked.values()) >= least, picked
