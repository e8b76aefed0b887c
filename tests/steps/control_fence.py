"""Checks whether a command may be sent under a lease."""

from __future__ import annotations

from behave import then

from galenavane.config import declaration
from galenavane.control import fence
from galenavane.store import lease


@then(
    "a command to a target whose tokens are {kind} with {seconds_left:g} seconds left is {answer}"
)
def check_send(context, kind, seconds_left, answer):
    grant = lease.Grant(1, 100.0 + seconds_left)
    is_sent = fence.may_send(declaration.Fencing(kind), grant, 100.0)
    assert is_sent == (answer == "sent")


@then("without a lease no command is sent")
def check_no_grant(context):
    assert not any(fence.may_send(kind, None, 0.0) for kind in declaration.Fencing)
