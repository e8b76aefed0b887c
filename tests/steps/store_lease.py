"""Steps for the lease state machine, with a lease object in memory."""

from __future__ import annotations

from behave import given, then, when

from galenavane.store import lease

STEP_SECONDS = 0.1


class _Platform:
    """The lease object in the platform."""

    def __init__(self):
        self.version = 0
        self.value = None

    def write(self, order):
        if order.if_version != self.version:
            return None
        self.version += 1
        self.value = order.value
        return self.version


@given("a lease held since second {at:g}")
def hold_lease(context, at):
    context.platform = _Platform()
    context.lease = lease.State("e0", "x0")
    context.other = lease.State("e1", "x1")
    lease.record_read(context.lease, 0, None, at)
    action = lease.next_action(context.lease, at)
    lease.record_write_sent(context.lease, action, at)
    lease.record_written(context.lease, context.platform.write(action), action.value)
    assert lease.get_token(context.lease, at) == 1


@when("its renewal at second {at:g} takes effect and the response is lost")
def renew_with_lost_answer(context, at):
    send_renewal(context, at)
    assert context.platform.write(context.renewal) is not None


@when("its renewal at second {at:g} is pending without a response")
def send_renewal(context, at):
    context.renewal = lease.next_action(context.lease, at)
    lease.record_write_sent(context.lease, context.renewal, at)
    lease.require_read(context.lease)


@when("that renewal takes effect at second {at:g}")
def apply_renewal(context, at):
    assert context.platform.write(context.renewal) is not None


@when("another renewal at second {at:g} conflicts")
def renew_with_conflict(context, at):
    action = lease.next_action(context.lease, at)
    lease.record_write_sent(context.lease, action, at)
    assert context.platform.write(action) is None
    lease.require_read(context.lease)


@when("the lease is read at second {at:g}")
@when("the lease is read unchanged at second {at:g}")
def read_lease(context, at):
    assert isinstance(lease.next_action(context.lease, at), lease.Read)
    lease.record_read(context.lease, context.platform.version, context.platform.value, at)


@when("another entry reads it at second {at:g}")
def read_by_other(context, at):
    lease.record_read(context.other, context.platform.version, context.platform.value, at)


@when("it is released at second {at:g}")
def release(context, at):
    action = lease.make_release(context.lease)
    lease.record_write_sent(context.lease, action, at)
    lease.record_written(context.lease, context.platform.write(action), action.value)
    assert lease.get_token(context.lease, at) is None


@when("the platform loses the lease object")
def lose_platform_data(context):
    context.platform = _Platform()


@when("a target reports token {token:d} at second {at:g}")
def show_token(context, token, at):
    assert lease.raise_highest_token(context.lease, token, at)


@then("the lease is held until second {at:g}")
def check_held(context, at):
    assert lease.get_token(context.lease, at - STEP_SECONDS) == 1
    assert lease.get_token(context.lease, at) is None


@then("the lease is not usable at second {at:g}")
def check_unusable(context, at):
    assert lease.get_token(context.lease, at) is None
    assert lease.get_grant(context.lease) is None


@then("the other entry may claim it at second {at:g} and not before")
def check_claim(context, at):
    before = lease.next_action(context.other, at - STEP_SECONDS)
    context.claim = lease.next_action(context.other, at)
    assert isinstance(context.claim, lease.Write)
    assert isinstance(before, lease.Watch)


@then("the other entry may claim it at once at second {at:g}")
def check_claim_at_once(context, at):
    assert isinstance(lease.next_action(context.other, at), lease.Write)


@then("the other entry claims it with token {token:d}")
def check_token(context, token):
    assert context.claim.value.token == token


@then("the entry claims it with token {token:d} at second {at:g}")
def check_own_claim(context, token, at):
    action = lease.next_action(context.lease, at)
    assert (action.value.holder, action.value.token) == ("e0", token)
