"""Decides from the lease whether a command may be sent now."""

from __future__ import annotations

from galenavane.config import declaration
from galenavane.store import lease

MAX_COMMAND_SECONDS = 1.0


def may_send(fencing: declaration.Fencing, grant: lease.Grant | None, now: float) -> bool:
    """Whether the lease holder may send a command to a target now.

    A target that checks fencing tokens refuses commands of an older holder, so a command is
    harmless even after the lease has expired, as long as no other holder is known; once one is,
    there is no grant. For a target that ignores tokens, the command has to end before the lease
    does.

    :param grant: the entry's last lease grant, which may have expired; ``None`` if it has none or
        another entry is known to hold the lease.
    :param now: monotonic time in seconds.
    """
    if grant is None:
        return False
    if fencing is declaration.Fencing.CHECKED:
        return True
    return now + MAX_COMMAND_SECONDS <= grant.held_until


def find_fencing(declared: declaration.Declarations, group: str) -> declaration.Fencing:
    """Return whether a group's targets check fencing tokens.

    Targets of an unknown service count as checking only if those of every model service do. The
    same holds for a command without a group, such as ``LOAD``.

    :param group: ``service.data_centre.number``, or empty.
    """
    service = declared.find_service(group.partition(".")[0])
    if service is not None:
        return service.fencing
    is_checked = all_check_tokens(declared)
    return declaration.Fencing.CHECKED if is_checked else declaration.Fencing.IGNORED


def all_check_tokens(declared: declaration.Declarations) -> bool:
    """Whether the targets of every model service check fencing tokens."""
    model_services = [
        service for service in declared.services if service.kind is declaration.ServiceKind.MODEL
    ]
    return all(service.fencing is declaration.Fencing.CHECKED for service in model_services)
