"""Checks declarations as a whole."""

from __future__ import annotations

import re
from collections import abc

from galenavane.config import declaration
from galenavane.failure import code as codes
from galenavane.failure import failure

MAX_MEMBERS = 32
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_HASH = re.compile(r"[0-9a-f]{64}")


def check(declared: declaration.Declarations) -> None:
    """Check names, references and limits.

    :raises failure.UserError: with the first problem.
    """
    for problem in _problems(declared):
        raise failure.UserError(failure.Failure(codes.Code.BAD_DECLARATION, problem))


def _problems(declared: declaration.Declarations) -> abc.Iterator[str]:
    yield from _name_problems(declared)
    if declared.deployment.downtime_weight < 0 or declared.deployment.stranded_weight < 0:
        yield f'deployment "{declared.deployment.name}" has a negative weight'
    if declared.deployment.spares < 0:
        yield f'spares of deployment "{declared.deployment.name}" is negative'
    if declared.deployment.loads_at_once < 1:
        yield f'loads_at_once of deployment "{declared.deployment.name}" is below 1'
    for service in declared.services:
        yield from _service_problems(service)
    for account in declared.accounts:
        yield from _account_problems(account)
    for run in declared.runs:
        yield from _run_problems(declared, run)


def _name_problems(declared: declaration.Declarations) -> abc.Iterator[str]:
    names = [declared.deployment.name]
    names += [one.name for one in declared.services]
    names += [one.name for one in declared.models]
    names += [one.name for one in declared.accounts]
    names += [one.name for one in declared.presets]
    for name in names:
        if not _NAME.fullmatch(name):
            yield f'name "{name}" is not made of lower-case letters, digits and hyphens'


def _service_problems(service: declaration.Service) -> abc.Iterator[str]:
    if not 1 <= service.members <= MAX_MEMBERS:
        yield f'members of service "{service.name}" is {service.members}, not 1 to {MAX_MEMBERS}'
    if service.priority < 0:
        yield f'priority of service "{service.name}" is negative'
    for pattern in service.idempotent:
        method, _, path = pattern.partition(" ")
        if not (method.isupper() and path.startswith("/")):
            yield f'"{pattern}" in service "{service.name}" is not METHOD /path'


def _account_problems(account: declaration.Account) -> abc.Iterator[str]:
    if not _HASH.fullmatch(account.key_sha256):
        yield f'key_sha256 of account "{account.name}" is not 64 hexadecimal digits'
    if min(account.requests_per_second, account.tokens_per_second, account.weight) <= 0:
        yield f'a limit or weight of account "{account.name}" is not above 0'


def _run_problems(declared: declaration.Declarations, run: declaration.Run) -> abc.Iterator[str]:
    where = f'run "{run.preset}/{run.service}"'
    service = declared.find_service(run.service)
    model = next((one for one in declared.models if one.name == run.model), None)
    if run.preset not in [one.name for one in declared.presets]:
        yield f'{where}: preset "{run.preset}" is not declared'
    if service is None or service.kind is not declaration.ServiceKind.MODEL:
        yield f'{where}: model service "{run.service}" is not declared'
    if model is None:
        yield f'{where}: model "{run.model}" is not declared'
        return
    if run.version not in model.versions:
        yield f'{where}: version "{run.version}" of model "{run.model}" is not declared'
    for adapter in run.adapters:
        if adapter not in model.adapters:
            yield f'{where}: adapter "{adapter}" of model "{run.model}" is not declared'
