"""Checks names, references and limits of declarations."""

from __future__ import annotations

import re
from collections import abc

from galenavane.config import declaration
from galenavane.failure import code as codes
from galenavane.failure import failure

MAX_MEMBERS = 32
_NAME = re.compile(r"[a-z0-9][a-z0-9-]{0,62}")
_KEY_HASH = re.compile(r"[0-9a-f]{64}")


def check(declared: declaration.Declarations) -> None:
    """Check declarations as a whole.

    :raises failure.UserError: naming the first problem.
    """
    for problem in _find_problems(declared):
        raise failure.UserError(failure.Failure(codes.Code.BAD_DECLARATION, problem))


def _find_problems(declared: declaration.Declarations) -> abc.Iterator[str]:
    yield from _find_name_problems(declared)
    if declared.deployment.downtime_weight < 0 or declared.deployment.stranded_weight < 0:
        yield f'deployment "{declared.deployment.name}" has a negative weight'
    if declared.deployment.spares < 0:
        yield f'spares of deployment "{declared.deployment.name}" is negative'
    if declared.deployment.loads_at_once < 1:
        yield f'loads_at_once of deployment "{declared.deployment.name}" is below 1'
    for service in declared.services:
        yield from _find_service_problems(service)
    for account in declared.accounts:
        yield from _find_account_problems(account)
    for run in declared.runs:
        yield from _find_run_problems(declared, run)


def _find_name_problems(declared: declaration.Declarations) -> abc.Iterator[str]:
    names = [declared.deployment.name]
    names += [service.name for service in declared.services]
    names += [model.name for model in declared.models]
    names += [account.name for account in declared.accounts]
    names += [preset.name for preset in declared.presets]
    for name in names:
        if not _NAME.fullmatch(name):
            yield f'name "{name}" is not made of lower-case letters, digits and hyphens'


def _find_service_problems(service: declaration.Service) -> abc.Iterator[str]:
    if not 1 <= service.members <= MAX_MEMBERS:
        yield f'members of service "{service.name}" is {service.members}, not 1 to {MAX_MEMBERS}'
    if service.priority < 0:
        yield f'priority of service "{service.name}" is negative'
    for pattern in service.idempotent:
        method, _, path = pattern.partition(" ")
        if not (method.isupper() and path.startswith("/")):
            yield f'"{pattern}" in service "{service.name}" is not METHOD /path'


def _find_account_problems(account: declaration.Account) -> abc.Iterator[str]:
    if not _KEY_HASH.fullmatch(account.key_sha256):
        yield f'key_sha256 of account "{account.name}" is not 64 hexadecimal digits'
    if min(account.requests_per_second, account.tokens_per_second, account.weight) <= 0:
        yield f'a limit or weight of account "{account.name}" is not above 0'


def _find_run_problems(
    declared: declaration.Declarations, run: declaration.Run
) -> abc.Iterator[str]:
    location = f'run "{run.preset}/{run.service}"'
    service = declared.find_service(run.service)
    model = next(
        (declared_model for declared_model in declared.models if declared_model.name == run.model),
        None,
    )
    if run.preset not in [preset.name for preset in declared.presets]:
        yield f'{location}: preset "{run.preset}" is not declared'
    if service is None or service.kind is not declaration.ServiceKind.MODEL:
        yield f'{location}: model service "{run.service}" is not declared'
    if model is None:
        yield f'{location}: model "{run.model}" is not declared'
        return
    if run.version not in model.versions:
        yield f'{location}: version "{run.version}" of model "{run.model}" is not declared'
    for adapter in run.adapters:
        if adapter not in model.adapters:
            yield f'{location}: adapter "{adapter}" of model "{run.model}" is not declared'
