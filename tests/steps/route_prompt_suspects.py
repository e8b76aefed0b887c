"""Steps for the parts of prompts that crash targets."""

from __future__ import annotations

from behave import given, then, when
from steps import prompt_fleet

from galenavane.fleet import replica_group
from galenavane.route import prompt_suspects

REPORTER = "e1/x"
WAITED_SECONDS = 0.2
BETWEEN_SECONDS = 0.5
Verdict = prompt_suspects.Verdict


def get_suspects(context):
    """Return the suspects of the scenario's entry."""
    if "suspects" not in context:
        context.suspects = prompt_suspects.Suspects(3.0, 30.0, 3.0, 1.0)
        context.now = 10.0
    return context.suspects


def make_key(number):
    """Build the key of a group."""
    return replica_group.Key(f"g{number}", number)


def crash(context, number, parts, waited=WAITED_SECONDS, reporter=REPORTER):
    """Let requests wait at a head that crashes now, as reported by an entry."""
    suspects = get_suspects(context)
    for part in parts:
        seen = prompt_suspects.Crash(make_key(number), context.now, waited, reporter, context.now)
        prompt_suspects.record_crash(suspects, part, seen, reporter == REPORTER, 0.0, context.now)


def decide(context, parts):
    """Decide on a request."""
    return prompt_suspects.decide(get_suspects(context), tuple(parts.split()), context.now)


@when('a request with parts "{parts}" crashes group {number:d}')
def crash_group(context, parts, number):
    suspects = get_suspects(context)
    context.now += BETWEEN_SECONDS
    crash(context, number, prompt_suspects.find_unproven(suspects, parts.split(), context.now))


@when('the crash of group {number:d} is reported by another entry, for part "{part}"')
def report_again(context, number, part):
    get_suspects(context)
    context.now += 0.01
    crash(context, number, [part], reporter="e2/y")


@when(
    'a request with parts "{parts}" waits at crashes of groups {one:d} and {two:d}, '
    "by the reports of another entry"
)
def report_crashes(context, parts, one, two):
    for number in (one, two):
        context.now += BETWEEN_SECONDS
        crash(context, number, parts.split(), reporter="e2/y")


@when('requests with parts "{parts}" and "{others}" wait at crashes of groups {one:d} and {two:d}')
def crash_groups(context, parts, others, one, two):
    get_suspects(context)
    for number in (one, two):
        context.now += BETWEEN_SECONDS
        crash(context, number, [*parts.split(), *others.split()])


@when(
    'requests with parts "{part}" have waited for {waited:g} s at groups {first:d} to {last:d}, '
    "which are lost within {seconds:g} s"
)
def lose_groups(context, part, waited, first, last, seconds):
    get_suspects(context)
    for number in range(first, last + 1):
        context.now += seconds / (last - first + 1)
        crash(context, number, [part], waited, reporter=f"e{number % 2}/x")


@when(
    '{later:g} s later entry "{entry}" reports that part "{part}" waited for <{waited:g}> s at a '
    "crash of group {number:d}"
)
def report_later(context, later, entry, part, waited, number):
    context.now += later
    crash(context, number, [part], waited, entry)


@when(
    'entry "{entry}" saw a crash of group {number:d} with part "{part}" at {at:g} s, '
    "reported {delay:g} s later"
)
def report_late(context, entry, number, part, at, delay):
    add_report(context, entry, number, part, at - WAITED_SECONDS, at, delay)


@when(
    'entry "{entry}" saw a crash of group {number:d} with part "{part}" sent at {sent_at:g} s, '
    "at {at:g} s, reported {delay:g} s later"
)
def report_sent_at(context, entry, number, part, sent_at, at, delay):
    add_report(context, entry, number, part, sent_at, at, delay)


def add_report(context, entry, number, part, sent_at, at, delay):
    """Record a report that took some time to arrive."""
    suspects = get_suspects(context)
    context.now = at + delay
    seen = prompt_suspects.Crash(make_key(number), at + delay, at - sent_at, entry, at)
    prompt_suspects.record_crash(suspects, part, seen, False, 0.0, context.now)


@when('requests with parts "{parts}" and "{others}" wait at a crash of group {number:d}')
def crash_one(context, parts, others, number):
    get_suspects(context)
    context.now += BETWEEN_SECONDS
    crash(context, number, [*parts.split(), *others.split()])


@when(
    'a request with parts "{parts}" and an older one with parts "{others}" wait at a crash of '
    "group {number:d}"
)
def crash_with_older(context, parts, others, number):
    context.now += BETWEEN_SECONDS
    crash(context, number, parts.split())
    crash(context, number, others.split(), BETWEEN_SECONDS + WAITED_SECONDS)
    context.now += 1.0


@when('a request with parts "{parts}" succeeds')
def succeed(context, parts):
    suspects = get_suspects(context)
    context.now += 0.1
    prompt_suspects.record_success(suspects, parts.split(), context.now)


@when("{seconds:d} s go by")
def wait(context, seconds):
    context.now += seconds


@when('a probe of "{parts}" is sent')
def send_probe(context, parts):
    for part in parts.split():
        is_news = prompt_suspects.record_probe(context.suspects, part, context.now)
        assert is_news == prompt_suspects.is_blocked(context.suspects, part)


@when('another entry reports a probe of "{part}"')
def report_probe(context, part):
    assert prompt_suspects.record_probe(context.suspects, part, context.now - 0.01)
    assert not prompt_suspects.record_probe(context.suspects, part, context.now + 0.01)


@then('a request with parts "{parts}" is admitted')
def check_admitted(context, parts):
    assert decide(context, parts).verdict is Verdict.ADMIT, decide(context, parts)


@then('a request with parts "" is admitted')
def check_none_admitted(context):
    check_admitted(context, "")


@then('a request with parts "{parts}" is refused because of "{part}"')
def check_refused(context, parts, part):
    decision = decide(context, parts)
    assert decision == prompt_suspects.Decision(Verdict.REFUSE, (part,)), decision


@then('a request with parts "{parts}" is held for {seconds:g} s because of "{part}"')
def check_held(context, parts, seconds, part):
    decision = decide(context, parts)
    assert (decision.verdict, decision.parts) == (Verdict.HOLD, (part,)), decision
    assert abs(decision.until - context.now - seconds) < 0.05, (decision, context.now)


@then('a request with parts "{parts}" is a probe of "{probed}"')
def check_probe(context, parts, probed):
    decision = decide(context, parts)
    assert decision == prompt_suspects.Decision(Verdict.PROBE, tuple(probed.split())), decision


@then('of parts "{parts}" only "{suspected}" is suspected after a crash')
def check_unproven(context, parts, suspected):
    found = prompt_suspects.find_unproven(context.suspects, parts.split(), context.now)
    assert found == tuple(suspected.split()), found


@then("the crash of group {number:d} reported once more suspects nothing")
def check_disproved(context, number):
    old = prompt_suspects.Crash(make_key(number), 11.0, WAITED_SECONDS, REPORTER, 11.0)
    assert not prompt_suspects.record_crash(context.suspects, "s", old, False, 0.0, context.now)
    assert not context.suspects.suspected


@then("nothing is suspected any more")
def check_forgotten(context):
    prompt_suspects.drop_expired(context.suspects, context.now)
    assert not context.suspects.suspected


@when("{count:d} requests with parts of their own succeed")
def succeed_often(context, count):
    for number in range(count):
        prompt_suspects.record_success(get_suspects(context), [f"p{number}"], context.now)


@when("{count:d} requests with parts of their own crash a group each")
def crash_often(context, count):
    for number in range(count):
        context.now += 0.001
        crash(context, number, [f"q{number}"])


@when("one part crashes {count:d} groups")
def crash_many(context, count):
    for number in range(count):
        context.now += BETWEEN_SECONDS
        crash(context, 10_000 + number, ["g"])


@then(
    "at most {proven:d} proven and {suspected:d} suspected parts and {crashes:d} crashes of a "
    "part are kept"
)
def check_bounds(context, proven, suspected, crashes):
    suspects = context.suspects
    assert len(suspects.proven) == proven, len(suspects.proven)
    assert len(suspects.suspected) <= suspected, len(suspects.suspected)
    assert len(suspects.suspected["g"].crashes) == crashes


@given(
    "{entries:d} entries that serve {rate:d} requests a second at {heads:d} heads, of which "
    "{share:d} in 100 have a crashing part"
)
def make_fleet(context, entries, rate, heads, share):
    context.fleet_options = (entries, rate, heads, share / 100)


@when("{seconds:d} s are simulated with seed {seed:d}")
def simulate(context, seconds, seed):
    context.fleet = prompt_fleet.Fleet(*context.fleet_options, seed)
    context.fleet.run(seconds)


@then("at most {count:d} heads have crashed")
def check_crashes(context, count):
    assert 0 < context.fleet.crashes <= count, context.fleet.crashes


@then("at most {share:d} in 100 of the sound requests were refused")
def check_sound_refused(context, share):
    fleet = context.fleet
    assert fleet.sound > 500, fleet.sound
    assert fleet.sound_refused * 100 <= share * fleet.sound, (fleet.sound_refused, fleet.sound)


@when('requests with parts "{parts}" and "{others}" wait at the crash of group {number:d}')
def crash_one_group(context, parts, others, number):
    get_suspects(context)
    context.now += BETWEEN_SECONDS
    crash(context, number, [*parts.split(), *others.split()])


@when("{count:d} parts wait at crashes of {heads:d} heads that are lost at once")
def lose_heads(context, count, heads):
    get_suspects(context)
    for number in range(count):
        crash(context, 100 + number % heads, [f"part{number}"])
