"""Steps for the lease, with entries that report to each other and share one stored object."""

from __future__ import annotations

import types

from behave import given, then, when

from galenavane.control import controller_state
from galenavane.gateway import boot_clock, lease, lease_task

TICK_SECONDS = 0.1
HOLDER_TIMEOUT_SECONDS = 1.1


class Entry:
    """One entry, which may be dead or frozen."""

    def __init__(self, name):
        self.lease = lease.LeaseState(name)
        self.holder = lease.HolderReport()
        self.is_alive = True
        self.is_candidate = True
        self.frozen_until = 0.0


class Store:
    """A store of one object, which is written only if its revision is unchanged."""

    def __init__(self):
        self.revision = 0
        self.value = lease.LeaseRecord("", 0, 0)
        self.loses_next_answer = False
        self.calls = 0

    def write(self, action):
        """Write the object, and return whether the writer learns that this took effect."""
        if action.revision != self.revision:
            return False
        self.revision += 1
        self.value = action.record
        if self.loses_next_answer:
            self.loses_next_answer = False
            return False
        return True


@given("{count:d} entries without a lease")
def make_entries(context, count):
    context.now = 100.0
    context.entries = [Entry(f"e{number}/1") for number in range(count)]
    context.store = Store()


def run_entry(context, entry):
    """Run the next action of one entry."""
    now = context.now
    is_holder_alive = now - entry.holder.seen_at <= HOLDER_TIMEOUT_SECONDS
    is_holder_alive = is_holder_alive and entry.holder.token >= entry.lease.record.token
    was_alive = entry.holder.token == entry.lease.record.token and entry.holder.token > 0
    is_holder_lost = was_alive and now - entry.holder.seen_at > HOLDER_TIMEOUT_SECONDS
    lease.record_holder_state(entry.lease, is_holder_alive, now)
    action = lease.next_action(
        entry.lease, is_holder_alive, is_holder_lost, now, entry.is_candidate
    )
    if action is not None and not lease.is_recorded_holder(entry.lease):
        context.store.calls += 1
    if isinstance(action, lease.Write):
        entry.lease.sent_at = now
        if context.store.write(action) or context.store.value == action.record:
            lease.record_write(entry.lease, context.store.revision, action.record, now)
        else:
            lease.observe(entry.lease, context.store.revision, context.store.value, now)
    elif isinstance(action, lease.Read):
        lease.observe(entry.lease, context.store.revision, context.store.value, now)
    if lease.is_held(entry.lease, now):
        for other in context.entries:
            lease.record_holder_report(other.holder, entry.lease.record.token, now)


@when("the entries run for {seconds:g} s")
def pass_seconds(context, seconds):
    until = context.now + seconds
    while context.now < until:
        context.now += TICK_SECONDS
        for entry in context.entries:
            if entry.is_alive and context.now >= entry.frozen_until:
                run_entry(context, entry)


def find_holders(context):
    """Return the live entries that hold the lease."""
    return [
        entry
        for entry in context.entries
        if entry.is_alive and lease.is_held(entry.lease, context.now)
    ]


@when("the holder is killed")
def kill_holder(context):
    context.token = context.store.value.token
    find_holders(context)[0].is_alive = False


@when("the holder stops")
def stop_holder(context):
    holder = find_holders(context)[0]
    context.store.write(lease.make_release(holder.lease))
    holder.is_alive = False
    for entry in context.entries:
        entry.holder.seen_at = context.now - HOLDER_TIMEOUT_SECONDS - 0.01


@when("the holder is frozen for {seconds:g} s")
def freeze_holder(context, seconds):
    context.frozen = find_holders(context)[0]
    context.frozen.frozen_until = context.now + seconds + 1
    pass_seconds(context, seconds)


@when("the answer to the next renewal is lost")
def lose_answer(context):
    context.token = context.store.value.token
    context.store.loses_next_answer = True


@then("exactly 1 entry holds the lease")
def check_one_holder(context):
    assert len(find_holders(context)) == 1, [entry.lease.own_id for entry in find_holders(context)]


@then("its fencing token is higher")
def check_token_grew(context):
    assert find_holders(context)[0].lease.record.token > context.token


@then("its fencing token is the same")
def check_token_unchanged(context):
    assert find_holders(context)[0].lease.record.token == context.token


@then("the frozen entry does not hold the lease when it wakes")
def check_frozen_entry(context):
    assert not lease.is_held(context.frozen.lease, context.now)


@then("with {count:d} known peers, of which those heard from have store ages {ages}, it {result}")
def check_outlast(context, count, ages, result):
    live_ages = [float(age) for age in ages.split()] if ages != "none" else []
    may_outlast = lease.may_outlast(True, count, live_ages)
    assert may_outlast == (result == "goes on"), may_outlast
    assert not lease.may_outlast(False, count, live_ages)


@given("{count:d} entries without a lease, {relays:d} of them relays")
def make_large(context, count, relays):
    make_entries(context, count)
    for number, entry in enumerate(context.entries):
        entry.is_candidate = number % (count // relays) == 0 and number < count // relays * relays


@when("the relays are killed")
def kill_relays(context):
    for entry in context.entries:
        entry.is_alive = not entry.is_candidate


@then("the store was called at most {limit:d} times apart from renewals")
def check_calls(context, limit):
    assert context.store.calls <= limit, context.store.calls


@given("an entry that holds the lease of token {token:d} and has numbered {count:d} formations")
def make_holder(context, token, count):
    context.gw = types.SimpleNamespace(
        lease=lease.LeaseState("e0/1"),
        control=None,
        lapsed_control=None,
        holder_report=lease.HolderReport(),
        peers={"e1": types.SimpleNamespace(heartbeat=None)},
        wake_control=lambda: None,
    )
    grant(context, token)
    state = controller_state.find_service(context.gw.control, "llm")
    for _ in range(count):
        controller_state.allocate_key(state, "group")


@when("the lease is granted with token {token:d}")
def grant(context, token):
    record = lease.LeaseRecord("e0/1", token, 0)
    lease.record_write(context.gw.lease, 1, record, boot_clock.now())
    lease_task.start_or_stop_control(context.gw)


@when("the lease lapses")
def let_lapse(context):
    context.gw.lease.held_until = boot_clock.now()
    lease_task.start_or_stop_control(context.gw)


@when("the lease is renewed")
def renew(context):
    lease.record_write(context.gw.lease, 2, context.gw.lease.record, boot_clock.now())
    lease_task.start_or_stop_control(context.gw)


@then("the entry commands nothing")
def check_no_control(context):
    assert context.gw.control is None


@then("the entry's next formation has number {number:d} of token {token:d}")
def check_next_key(context, number, token):
    state = controller_state.find_service(context.gw.control, "llm")
    key = controller_state.allocate_key(state, "group")
    assert key.epoch == (token << controller_state.EPOCH_BITS) + number, key
