"""The changes that operators' commands ask for."""

from __future__ import annotations

import expression

from galenavane.cli import configuration_change
from galenavane.config import accept, declaration
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.store import api

_Result = expression.Result[configuration_change.DesiredConfiguration, failure.Failure]


def make_apply(declared: declaration.Declarations, preset: str) -> configuration_change.Change:
    """Return the change to declarations, and to a preset unless its name is empty."""

    async def change(platform: api.Api, current: accept.StoredConfiguration) -> _Result:
        kept = current.head.preset if current.head else ""
        return configuration_change.select_preset(declared, preset or kept or _first(declared))

    return change


def make_preset_switch(name: str) -> configuration_change.Change:
    """Return the switch to a preset."""

    async def change(platform: api.Api, current: accept.StoredConfiguration) -> _Result:
        if current.declared is None:
            return _refuse("nothing has been applied yet")
        return configuration_change.select_preset(current.declared, name)

    return change


def make_rollback(number: int) -> configuration_change.Change:
    """Return the change to what was in force at an earlier generation."""

    async def change(platform: api.Api, current: accept.StoredConfiguration) -> _Result:
        if current.head is None or number >= current.head.generation:
            return _refuse(f"generation {number} has not been replaced")
        found = await accept.read_generation(platform, number)
        if found.is_error():
            return expression.Error(found.error)
        if found.ok.declared is None or found.ok.head is None:
            return _refuse(f"generation {number} is not kept in the platform")
        return configuration_change.select_preset(found.ok.declared, found.ok.head.preset)

    return change


def _first(declared: declaration.Declarations) -> str:
    return declared.presets[0].name if declared.presets else ""


def _refuse(text: str) -> _Result:
    return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
