"""Steps for the freshness of the configuration."""

from __future__ import annotations

from behave import given, then, when

from galenavane.catalog import catalog, limits
from galenavane.gateway import config_state, peer_message, peers

REVOKE_SECONDS = 5.0


def make_catalog(version):
    """Build an empty configuration."""
    return catalog.Catalog(version, [], [], [], limits.Limits(16_384, 4_194_304, 3.0, 15.0))


def make_heartbeat(**changes):
    """Build a heartbeat of another entry."""
    fields = {
        "sender": "b",
        "data_centre": "dc",
        "address": "10.0.0.2:7",
        "bandwidth": 100.0,
        "incarnation": "x",
        "wants_relay": False,
        "sent_at": 1.0,
        "echoed_at": 0.0,
        "version": 0,
        "confirmed_age": 0.0,
        "store_age": 0.0,
        "revision": 0,
        "token": 0,
        "token_age": 0.0,
        "is_stopping": False,
        "loads": [],
        "local_loads": [],
        "all_loads": [],
    }
    return peer_message.Heartbeat(**{**fields, **changes})


@given("a configuration of version {version:d} confirmed at {at:g} s")
def set_config(context, version, at):
    context.config_state = config_state.ConfigState()
    config_state.update(context.config_state, make_catalog(version), b"", at)


@when("the machine is suspended until {at:g} s")
def suspend(context, at):
    """Nothing happens while a machine is suspended, but its boot clock goes on."""


@when(
    "a heartbeat arrives at {at:g} s with version {version:d}, confirmed {age:g} s ago, "
    "and an echo from {sent:g} s"
)
def receive_heartbeat(context, version, age, at, sent):
    heartbeat = make_heartbeat(version=version, confirmed_age=age, echoed_at=sent)
    peers.handle_heartbeat({}, heartbeat, context.config_state, at)


@when("version {version:d} is offered at {at:g} s")
def offer_version(context, version, at):
    config_state.update(context.config_state, make_catalog(version), b"", at)


@then("at {at:g} s keys may be used")
def check_usable(context, at):
    assert config_state.may_use_keys(context.config_state, REVOKE_SECONDS, at)


@then("at {at:g} s keys may not be used")
def check_unusable(context, at):
    assert not config_state.may_use_keys(context.config_state, REVOKE_SECONDS, at)


@then("version {version:d} is in force")
def check_version(context, version):
    assert context.config_state.version == version


@then("at {at:g} s a missing route does not exist")
def check_complete(context, at):
    assert config_state.is_fresh(context.config_state, at)


@then("at {at:g} s a missing route may exist")
def check_incomplete(context, at):
    assert not config_state.is_fresh(context.config_state, at)
