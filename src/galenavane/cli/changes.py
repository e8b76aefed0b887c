"""Makes the changes of the configuration that operators' commands request."""

from __future__ import annotations

import expression

from galenavane.cli import configuration_change
from galenavane.config import accept, declaration
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.store import api

_Result = expression.Result[configuration_change.DesiredConfiguration, failure.Failure]


def make_apply(declared: declaration.Declarations, preset: str) -> configuration_change.Change:
    """Return a change that puts declarations in force.

    :param preset: preset to put in force; if empty, the one in force stays, or the first declared
        one is chosen when there is none.
    """

    async def change(platform: api.Api, current: accept.StoredConfiguration) -> _Result:
        current_preset = current.head.preset if current.head else ""
        return configuration_change.select_preset(
            declared, preset or current_preset or _get_first_preset(declared)
        )

    return change


def make_preset_switch(name: str) -> configuration_change.Change:
    """Return a change that puts a declared preset in force."""

    async def change(platform: api.Api, current: accept.StoredConfiguration) -> _Result:
        if current.declared is None:
            return _make_refusal("nothing has been applied yet")
        return configuration_change.select_preset(current.declared, name)

    return change


def make_rollback(number: int) -> configuration_change.Change:
    """Return a change back to the configuration of an earlier generation."""

    async def change(platform: api.Api, current: accept.StoredConfiguration) -> _Result:
        if current.head is None or number >= current.head.generation:
            return _make_refusal(f"generation {number} has not been replaced")
        earlier = await accept.read_generation(platform, number)
        if earlier.is_error():
            return expression.Error(earlier.error)
        if earlier.ok.declared is None or earlier.ok.head is None:
            return _make_refusal(f"generation {number} is not kept in the platform")
        return configuration_change.select_preset(earlier.ok.declared, earlier.ok.head.preset)

    return change


def _get_first_preset(declared: declaration.Declarations) -> str:
    return declared.presets[0].name if declared.presets else ""


def _make_refusal(text: str) -> _Result:
    return expression.Error(failure.Failure(codes.Code.NOT_ACCEPTED, text))
