"""Asks routing for a group, waits for its decision, and tells it how the request went."""

from __future__ import annotations

from collections import abc

import expression
import trio

from galenavane import invariant
from galenavane.config import declaration
from galenavane.entry import view as views
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.observe import events
from galenavane.route import decision, router
from galenavane.route import grant as grants
from galenavane.serve import decision_future


async def acquire(
    view: views.View, ask: grants.RoutingRequest, tried: set[str]
) -> expression.Result[grants.Grant, failure.Failure]:
    """Wait for a group that may get the request; refuse when none can be had in time."""
    account = _find_account(view, ask.account)
    if account is None:
        text = f'account "{ask.account}" is not declared any more'
        return expression.Error(failure.Failure(codes.Code.UNKNOWN_ACCOUNT, text))
    own = decision_future.DecisionFuture()
    view.waiters[ask.request_id] = own
    now = trio.current_time()
    apply_decisions(view, router.submit(view.router, ask, account, tried, now, view.rng))
    try:
        found = await own.wait()
    except trio.Cancelled:
        _abandon(view, ask, own)
        raise
    finally:
        del view.waiters[ask.request_id]
    if isinstance(found, decision.Refused):
        events.log("route.refused", request=ask.request_id, code=found.failure.code.name)
        return expression.Error(found.failure)
    return expression.Ok(found.grant)


def release(view: views.View, held: grants.Grant, ended: grants.AttemptResult) -> None:
    """Tell that a granted request has ended, so that its place is free."""
    now = trio.current_time()
    apply_decisions(view, router.release(view.router, held, ended, now, view.rng))


def apply_decisions(view: views.View, decisions: abc.Iterable[decision.Decision]) -> None:
    """Wake the tasks that decisions are about."""
    for one in decisions:
        name = one.request_id if isinstance(one, decision.Refused) else one.grant.request.request_id
        waiting = view.waiters.get(name)
        invariant.check(
            invariant.Number.OWN_ANSWER,
            waiting is not None and waiting.decision is None,
            f"a decision about {name}, which does not wait",
        )
        if waiting is not None:
            waiting.set(one)


def _abandon(
    view: views.View, ask: grants.RoutingRequest, own: decision_future.DecisionFuture
) -> None:
    """Give back the place or the turn of a request whose caller has gone away."""
    if isinstance(own.decision, decision.Granted):
        release(view, own.decision.grant, grants.AttemptResult(None, 0, False))
    else:
        router.cancel(view.router, ask)


def _find_account(view: views.View, name: str) -> declaration.Account | None:
    configuration = view.configuration.value
    accounts = configuration.declared.accounts if configuration else []
    return next((one for one in accounts if one.name == name), None)
