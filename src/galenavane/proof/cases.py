"""All test cases, in the order of the invariants."""

from __future__ import annotations

from galenavane import invariant
from galenavane.proof import case, group_cases, operator_cases, request_cases

_Number = invariant.Number

ALL = (
    case.Case(
        _Number.COMPLETE_GROUP,
        "SIGSTOP of a member with the platform down",
        "route on a stale completeness proof",
        group_cases.check_complete_group,
    ),
    case.Case(
        _Number.ONE_GROUP,
        "SIGKILL of a member, SIGSTOP and SIGCONT of the lease holder, tokens ignored",
        "assign instances that are already in a group",
        group_cases.check_one_group,
    ),
    case.Case(
        _Number.OWN_ANSWER,
        "SIGKILL of leaders with streams in progress",
        "restart the answer in the middle of a stream",
        request_cases.check_own_answer,
    ),
    case.Case(
        _Number.NOT_RUN_IS_TRUE,
        "cut and lost responses, SIGKILL of an entry, platform down",
        "report not_run after bytes were sent",
        request_cases.check_not_run_is_true,
    ),
    case.Case(
        _Number.AT_MOST_ONCE,
        "cut and lost responses, SIGKILL of an entry, platform down",
        "retry a non-idempotent request after bytes were sent",
        request_cases.check_at_most_once,
    ),
    case.Case(
        _Number.LEAVING_GETS_NOTHING,
        "a plain target is listed as leaving and still answers",
        "ignore that a target is leaving",
        operator_cases.check_leaving_gets_nothing,
    ),
    case.Case(
        _Number.PLANNED_STOP,
        "SIGTERM of two entries and two preset switches under load",
        "stop without waiting for requests",
        operator_cases.check_planned_stop,
    ),
    case.Case(
        _Number.CONFIGURATION,
        "concurrent operators, SIGKILL and restart of an entry with the platform down",
        "write the head unconditionally",
        operator_cases.check_configuration,
    ),
)
