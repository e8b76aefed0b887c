"""Steps for target reports that entries share, over a lossy and delaying channel."""

from __future__ import annotations

import random

from behave import then

from galenavane.peer import messages, report_sharing, target_reports
from galenavane.target import report

ROUND_SECONDS = 0.5
INSTANCES = ["a", "b", "c"]


class Entry:
    """One entry; the reports that it polls are those of its targets at that moment."""

    def __init__(self, name, started_ms):
        self.name = name
        self.send_state = report_sharing.SendState(started_ms)
        self.receive_state = report_sharing.ReceiveState(0)

    def send(self, reports, polled_at, now):
        changes = report_sharing.compute_changes(self.send_state, reports, polled_at, now)
        return target_reports.TargetReports(
            messages.PROTOCOL_VERSION,
            self.name,
            self.send_state.started_ms,
            changes.number,
            self.receive_state.number,
            self.receive_state.started_ms,
            not self.receive_state.is_complete,
            changes.age_ms,
            changes.is_full,
            changes.rows,
            changes.loads,
            changes.gone,
        )

    def receive(self, message):
        if message.started_ms > self.receive_state.started_ms:
            self.receive_state = report_sharing.ReceiveState(message.started_ms)
        return report_sharing.apply_message(self.receive_state, message, self.send_state)


def change_reports(rng, before):
    """Return the reports, some of them with another group and load."""
    reports = dict(before)
    for name in INSTANCES:
        if rng.random() < 0.2:
            group = rng.choice(["", "g1", "g2"])
            running = rng.randrange(3)
            load = report.Load(running=running)
            reports[name] = report.Report(name, "i", group=group, load=load)
    return reports


def run(seed, date_by_arrival=False):
    """Exchange messages with faults; return how often a report was dated too late."""
    rng = random.Random(seed)
    first, second = Entry("one", 1), Entry("two", 1)
    history, queue, dated_too_late = [], [], 0
    reports = {name: report.Report(name, "i") for name in INSTANCES}
    now = 0.0
    for step in range(200):
        now += rng.uniform(0.1, ROUND_SECONDS)
        reports = change_reports(rng, reports)
        history.append((now, reports))
        if rng.random() < 0.02:
            first = Entry("one", step + 2)
        if rng.random() < 0.02:
            second = Entry("two", step + 2)
        for source, target in ((first, second), (second, first)):
            message = source.send(reports if source is first else {}, now, now)
            if rng.random() > 0.1:
                delay = rng.choice([0.0, 0.0, 0.05, 5.0])
                last = max([at for at, to, _ in queue if to == target.name], default=0.0)
                queue.append((max(last, now + delay), target.name, message))
        due = [queued for queued in queue if queued[0] <= now]
        queue = [queued for queued in queue if queued[0] > now]
        for _, name, message in due:
            (first if name == "one" else second).receive(message)
            if date_by_arrival and name == "two" and second.receive_state.is_complete:
                second.receive_state.confirmed_at = now
        dated_too_late += sum(
            not holds_since(history, second.receive_state, name)
            for name in second.receive_state.reports
        )
    return dated_too_late


def holds_since(history, receive_state, name):
    """Whether a report was true at some time at or after the one by which it is dated."""
    row = receive_state.reports[name]
    return any(
        reports[name].group == row.group
        for at, reports in history
        if at >= receive_state.confirmed_at - 1e-9
    )


@then("shared reports with seeds {first:d} to {last:d} are never dated later than they were true")
def check_seeds(context, first, last):
    dated_too_late = {seed: run(seed) for seed in range(first, last + 1)}
    assert not any(dated_too_late.values()), dated_too_late


@then("shared reports dated by arrival are dated too late with a seed up to {last:d}")
def check_dated_by_arrival(context, last):
    assert any(run(seed, date_by_arrival=True) for seed in range(1, last + 1))


@then("shared reports are complete again within 3 rounds after a lost message")
def check_lost_message(context):
    first, second = Entry("one", 1), Entry("two", 1)
    reports = {"a": report.Report("a", "i")}
    complete = []
    for number in range(8):
        message = first.send(reports, 0.0, float(number))
        if number != 3:
            complete.append(second.receive(message))
        first.receive(second.send({}, 0.0, float(number)))
    assert complete[:3] == [True, True, True]
    assert complete[3:] == [False, True, True, True], complete


@then("a message that confirms 29 unchanged reports has at most {size:d} bytes")
def check_size(context, size):
    entry = Entry("entry-00", 1_800_000_000_000)
    reports = {f"engine-{number}": report.Report(f"engine-{number}", "i") for number in range(29)}
    entry.send(reports, 0.0, 0.0)
    encoded = messages.encode(entry.send(reports, 0.0, 1.0))
    assert len(encoded) <= size, len(encoded)
