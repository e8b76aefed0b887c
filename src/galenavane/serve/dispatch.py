"""Acquires groups from the router for requests, and releases them."""

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
    view: views.View, routing_req: grants.RoutingRequest, failed_groups: set[str]
) -> expression.Result[grants.Grant, failure.Failure]:
    """Wait until the router grants a group to the request.

    :param failed_groups: names of groups that already failed this request.
    :returns: the grant, or the failure for which the router refused the request.
    """
    account = _find_account(view, routing_req.account)
    if account is None:
        text = f'account "{routing_req.account}" is no longer declared'
        return expression.Error(failure.Failure(codes.Code.UNKNOWN_ACCOUNT, text))
    fut = decision_future.DecisionFuture()
    view.waiters[routing_req.request_id] = fut
    now = trio.current_time()
    apply_decisions(
        view, router.submit(view.router, routing_req, account, failed_groups, now, view.rng)
    )
    try:
        decided = await fut.wait()
    except trio.Cancelled:
        _abandon(view, routing_req, fut)
        raise
    finally:
        del view.waiters[routing_req.request_id]
    if isinstance(decided, decision.Refused):
        events.log("route.refused", request=routing_req.request_id, code=decided.failure.code.name)
        return expression.Error(decided.failure)
    return expression.Ok(decided.grant)


def release(view: views.View, grant: grants.Grant, result: grants.AttemptResult) -> None:
    """Report the end of a granted request to the router, which frees its slot."""
    now = trio.current_time()
    apply_decisions(view, router.release(view.router, grant, result, now, view.rng))


def apply_decisions(view: views.View, decisions: abc.Iterable[decision.Decision]) -> None:
    """Pass each decision to the task that waits for it."""
    for decided in decisions:
        request_id = (
            decided.request_id
            if isinstance(decided, decision.Refused)
            else decided.grant.request.request_id
        )
        fut = view.waiters.get(request_id)
        invariant.check(
            invariant.Number.OWN_ANSWER,
            fut is not None and fut.decision is None,
            f"a decision was made for request {request_id}, which is not waiting",
        )
        if fut is not None:
            fut.set(decided)


def _abandon(
    view: views.View, routing_req: grants.RoutingRequest, fut: decision_future.DecisionFuture
) -> None:
    """Release the grant or the queue position of a request whose caller disconnected."""
    if isinstance(fut.decision, decision.Granted):
        release(view, fut.decision.grant, grants.AttemptResult(None, 0, False))
    else:
        router.cancel(view.router, routing_req)


def _find_account(view: views.View, name: str) -> declaration.Account | None:
    configuration = view.configuration.value
    accounts = configuration.declared.accounts if configuration else []
    return next((account for account in accounts if account.name == name), None)
