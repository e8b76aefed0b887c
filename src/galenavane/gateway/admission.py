"""Checks requests against the configuration in force and finds their route and service."""

from __future__ import annotations

import random
import typing

import expression
import msgspec

from galenavane.catalog import catalog, route
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.gateway import boot_clock, config_state
from galenavane.gateway import state as states
from galenavane.serve import inbound_request

RETRY_AFTER_SECONDS = 0.4
"""Another entry may have a newer configuration, and this one catches up within a few retries."""


class AdmittedRequest(msgspec.Struct, frozen=True):
    """A request that may be served; times are on trio's clock.

    :ivar service: name of the service that was chosen for it.
    :ivar account: name of the client account, empty on public routes.
    :ivar deadline: when the complete response is due.
    """

    inbound: inbound_request.InboundRequest
    route: route.Route
    service: str
    account: str
    received_at: float
    deadline: float


def admit(
    gw: states.Gateway, inbound: inbound_request.InboundRequest, now: float
) -> expression.Result[AdmittedRequest, failure.Failure]:
    """Match a request to its route, account and service.

    :param now: time on trio's clock at which the request was received.
    :returns: the admitted request, or the failure to answer with.
    """
    config = gw.config_state.catalog
    if config is None:
        return _fail_retryably(
            codes.Code.NO_CONFIGURATION, "no configuration has been received yet"
        )
    if not inbound.id:
        return _fail_permanently(codes.Code.BAD_REQUEST, "the request has no id")
    matched_route = config.find_route(inbound.host, inbound.path)
    if matched_route is None:
        return _reject_unknown(gw, codes.Code.NO_SUCH_PATH, "no route matches host and path")
    account = _find_account(gw, config, matched_route, inbound)
    if account.is_error():
        return expression.Error(account.error)
    service = _choose_service(matched_route, gw.rng)
    if service not in config.services:
        return _fail_retryably(codes.Code.NO_GROUP, "the route's service is not declared")
    timeout_seconds = min(inbound.timeout_seconds, matched_route.timeout_seconds)
    return expression.Ok(
        AdmittedRequest(inbound, matched_route, service, account.ok, now, now + timeout_seconds)
    )


def _find_account(
    gw: states.Gateway,
    config: catalog.Catalog,
    matched_route: route.Route,
    inbound: inbound_request.InboundRequest,
) -> expression.Result[str, failure.Failure]:
    if matched_route.is_public or not config.has_accounts:
        return expression.Ok("")
    if not gw.may_use_keys():
        return _fail_retryably(
            codes.Code.NO_CONFIGURATION,
            "keys can't be verified: the configuration is not confirmed as current",
        )
    account = config.find_account(inbound.api_key)
    if account is None:
        return _reject_unknown(gw, codes.Code.UNKNOWN_ACCOUNT, "the key belongs to no account")
    return expression.Ok(account.name)


def _reject_unknown(
    gw: states.Gateway, code: codes.Code, text: str
) -> expression.Result[typing.Any, failure.Failure]:
    """Fail permanently only if no newer configuration can have the missing route or key."""
    if config_state.is_fresh(gw.config_state, boot_clock.now()):
        return _fail_permanently(code, text)
    return _fail_retryably(codes.Code.NO_CONFIGURATION, f"{text} in the last known configuration")


def _fail_retryably(code: codes.Code, text: str) -> expression.Result[typing.Any, failure.Failure]:
    return expression.Error(failure.Failure(code, text, retry_after_seconds=RETRY_AFTER_SECONDS))


def _fail_permanently(
    code: codes.Code, text: str
) -> expression.Result[typing.Any, failure.Failure]:
    return expression.Error(failure.Failure(code, text))


def _choose_service(matched_route: route.Route, rng: random.Random) -> str:
    if not matched_route.weighted_services:
        return ""
    weights = [weighted_service.weight for weighted_service in matched_route.weighted_services]
    if sum(weights) <= 0:
        return matched_route.weighted_services[0].service
    return rng.choices(matched_route.weighted_services, weights)[0].service
