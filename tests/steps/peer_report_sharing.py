"""Steps for reports that entries share."""

from __future__ import annotations

import random

from behave import then

from galenavane.peer import messages, report_sharing, target_reports
from galenavane.target import report

ROUND_SECONDS = 0.5
INSTANCES = ["a", "b", "c"]


class Side:
    """One entry: what it polls is the truth of the moment."""

    def __init__(self, name, started_ms):
        self.name = name
        self.out = report_sharing.SendState(started_ms)
        self.box = report_sharing.ReceiveState(0)

    def tell(self, truth, polled_at, now):
        changes = report_sharing.next_changes(self.out, truth, polled_at, now)
        return target_reports.TargetReports(
            messages.PROTOCOL_VERSION,
            self.name,
            self.out.started_ms,
            changes.number,
            self.box.number,
            self.box.started_ms,
            not self.box.is_complete,
            changes.age_ms,
            changes.is_full,
            changes.rows,
            changes.loads,
            changes.gone,
        )

    def hear(self, message):
        if message.started_ms > self.box.started_ms:
            self.box = report_sharing.ReceiveState(message.started_ms)
        return report_sharing.apply_message(self.box, message, self.out)


def make_truth(rng, before):
    """Return reports, now and then with another group."""
    found = dict(before)
    for name in INSTANCES:
        if rng.random() < 0.2:
            group = rng.choice(["", "g1", "g2"])
            running = rng.randrange(3)
            load = report.Load(running=running)
            found[name] = report.Report(name, "i", group=group, load=load)
    return found


def run(seed, date_by_arrival=False):
    """Exchange messages with faults; return how often a report was dated too young."""
    rng = random.Random(seed)
    one, two = Side("one", 1), Side("two", 1)
    history, queue, wrong = [], [], 0
    truth = {name: report.Report(name, "i") for name in INSTANCES}
    now = 0.0
    for step in range(200):
        now += rng.uniform(0.1, ROUND_SECONDS)
        truth = make_truth(rng, truth)
        history.append((now, truth))
        if rng.random() < 0.02:
            one = Side("one", step + 2)
        if rng.random() < 0.02:
            two = Side("two", step + 2)
        for source, target in ((one, two), (two, one)):
            told = source.tell(truth if source is one else {}, now, now)
            if rng.random() > 0.1:
                delay = rng.choice([0.0, 0.0, 0.05, 5.0])
                last = max([at for at, to, _ in queue if to == target.name], default=0.0)
                queue.append((max(last, now + delay), target.name, told))
        due = [one_message for one_message in queue if one_message[0] <= now]
        queue = [one_message for one_message in queue if one_message[0] > now]
        for _, name, told in due:
            (one if name == "one" else two).hear(told)
            if date_by_arrival and name == "two" and two.box.is_complete:
                two.box.confirmed_at = now
        wrong += sum(not holds_since(history, two.box, name) for name in two.box.reports)
    return wrong


def holds_since(history, box, name):
    """Whether a row was true at some moment not before the time that it is dated."""
    row = box.reports[name]
    return any(
        truth[name].group == row.group for at, truth in history if at >= box.confirmed_at - 1e-9
    )


@then("shared reports with seeds {first:d} to {last:d} are never newer than the truth")
def check_seeds(context, first, last):
    found = {seed: run(seed) for seed in range(first, last + 1)}
    assert not any(found.values()), found


@then("shared reports dated by arrival are newer than the truth with a seed up to {last:d}")
def check_wrong(context, last):
    assert any(run(seed, date_by_arrival=True) for seed in range(1, last + 1))


@then("shared reports are whole again within 3 rounds after a lost message")
def check_gap(context):
    one, two = Side("one", 1), Side("two", 1)
    truth = {"a": report.Report("a", "i")}
    whole = []
    for number in range(8):
        told = one.tell(truth, 0.0, float(number))
        if number != 3:
            whole.append(two.hear(told))
        one.hear(two.tell({}, 0.0, float(number)))
    assert whole[:3] == [True, True, True]
    assert whole[3:] == [False, True, True, True], whole


@then("a message that confirms 29 unchanged reports has at most {size:d} bytes")
def check_size(context, size):
    one = Side("entry-00", 1_800_000_000_000)
    truth = {f"engine-{number}": report.Report(f"engine-{number}", "i") for number in range(29)}
    one.tell(truth, 0.0, 0.0)
    found = messages.encode(one.tell(truth, 0.0, 1.0))
    assert len(found) <= size, len(found)
