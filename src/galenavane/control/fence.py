"""Decides whether a command may be sent at this moment."""

from __future__ import annotations

from galenavane.config import declaration
from galenavane.store import lease

MAX_COMMAND_SECONDS = 1.0


def may_send(fencing: declaration.Fencing, grant: lease.Grant | None, now: float) -> bool:
    """Whether the holder may write a command to a target's connection now.

    A target that checks tokens refuses an older holder, so a lapsed lease does no harm as long
    as nobody else is known to have it. For one that ignores them, the command has to end within
    the lease.
    """
    if grant is None:
        return False
    if fencing is declaration.Fencing.CHECKED:
        return True
    return now + MAX_COMMAND_SECONDS <= grant.held_until


def find_fencing(declared: declaration.Declarations, group: str) -> declaration.Fencing:
    """Return what a group's targets do with tokens; unknown ones are taken to ignore them."""
    service = declared.service(group.partition(".")[0])
    if service is not None:
        return service.fencing
    is_checked = all_check_tokens(declared)
    return declaration.Fencing.CHECKED if is_checked else declaration.Fencing.IGNORED


def all_check_tokens(declared: declaration.Declarations) -> bool:
    """Whether the targets of every model service check tokens."""
    model_services = [
        service for service in declared.services if service.kind is declaration.ServiceKind.MODEL
    ]
    return all(service.fencing is declaration.Fencing.CHECKED for service in model_services)
