"""Steps for the lease, with entries that hear each other and share one object."""

from __future__ import annotations

from behave import given, then, when

from galenavane.gateway import lease

TICK_SECONDS = 0.1
HEARD_SECONDS = 1.1


class Entry:
    """One entry and when it last ran."""

    def __init__(self, name):
        self.lease = lease.LeaseState(name)
        self.holder = lease.HolderReport()
        self.is_alive = True
        self.frozen_until = 0.0


class Store:
    """One object under conditional writes."""

    def __init__(self):
        self.revision = 0
        self.value = lease.LeaseRecord("", 0, 0)
        self.lose_next = False

    def write(self, command):
        """Write and return whether the writer learns that it took effect."""
        if command.revision != self.revision:
            return False
        self.revision += 1
        self.value = command.record
        if self.lose_next:
            self.lose_next = False
            return False
        return True


@given("{count:d} entries without a lease")
def make_entries(context, count):
    context.now = 100.0
    context.entries = [Entry(f"e{number}/1") for number in range(count)]
    context.store = Store()


def run_entry(context, one):
    """Let one entry do its next step."""
    now = context.now
    heard = now - one.holder.seen_at <= HEARD_SECONDS
    heard = heard and one.holder.token >= one.lease.record.token
    known = one.holder.token == one.lease.record.token and one.holder.token > 0
    gone = known and now - one.holder.seen_at > HEARD_SECONDS
    command = lease.next_action(one.lease, heard, gone, now)
    if isinstance(command, lease.Write):
        one.lease.sent_at = now
        if context.store.write(command) or context.store.value == command.record:
            lease.record_write(one.lease, context.store.revision, command.record, now)
        else:
            lease.observe(one.lease, context.store.revision, context.store.value, now)
    elif isinstance(command, lease.Read):
        lease.observe(one.lease, context.store.revision, context.store.value, now)
    if lease.is_held(one.lease, now):
        for other in context.entries:
            lease.record_holder_report(other.holder, one.lease.record.token, now)


@when("the entries run for {seconds:g} s")
def pass_seconds(context, seconds):
    until = context.now + seconds
    while context.now < until:
        context.now += TICK_SECONDS
        for one in context.entries:
            if one.is_alive and context.now >= one.frozen_until:
                run_entry(context, one)


def holders(context):
    """Return the live entries that hold the lease."""
    return [
        one for one in context.entries if one.is_alive and lease.is_held(one.lease, context.now)
    ]


@when("the holder is killed")
def kill_holder(context):
    context.token = context.store.value.token
    holders(context)[0].is_alive = False


@when("the holder stops")
def stop_holder(context):
    one = holders(context)[0]
    context.store.write(lease.make_release(one.lease))
    one.is_alive = False
    for other in context.entries:
        other.holder.seen_at = context.now - HEARD_SECONDS - 0.01


@when("the holder is frozen for {seconds:g} s")
def freeze_holder(context, seconds):
    context.frozen = holders(context)[0]
    context.frozen.frozen_until = context.now + seconds + 1
    pass_seconds(context, seconds)


@when("the answer to the next renewal is lost")
def lose_answer(context):
    context.token = context.store.value.token
    context.store.lose_next = True


@then("exactly 1 entry holds the lease")
def check_one(context):
    assert len(holders(context)) == 1, [one.lease.own_id for one in holders(context)]


@then("its number has grown")
def check_grown(context):
    assert holders(context)[0].lease.record.token > context.token


@then("its number is the same")
def check_same(context):
    assert holders(context)[0].lease.record.token == context.token


@then("the frozen entry does not hold the lease when it wakes")
def check_frozen(context):
    assert not lease.is_held(context.frozen.lease, context.now)
