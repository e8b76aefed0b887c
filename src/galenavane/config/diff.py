"""Lists the differences between two configurations as lines of text."""

from __future__ import annotations

import typing

import msgspec

from galenavane.config import declaration

_SECTION_NAMES = ("services", "models", "accounts", "presets", "runs")


def diff(
    before: declaration.Declarations | None,
    before_preset: str,
    after: declaration.Declarations,
    after_preset: str,
) -> list[str]:
    """Return one line for each difference; no lines when the configurations are equal."""
    lines = []
    if before_preset != after_preset:
        lines.append(f"~ preset in force: {before_preset or 'none'} -> {after_preset}")
    lines += _diff_items("deployment", _index_deployment(before), _index_deployment(after))
    for section in _SECTION_NAMES:
        lines += _diff_items(
            section.removesuffix("s"), _index_items(before, section), _index_items(after, section)
        )
    return lines


def _index_deployment(declared: declaration.Declarations | None) -> dict[str, msgspec.Struct]:
    return {} if declared is None else {declared.deployment.name: declared.deployment}


def _index_items(
    declared: declaration.Declarations | None, section: str
) -> dict[str, msgspec.Struct]:
    if declared is None:
        return {}
    return {_format_name(item): item for item in getattr(declared, section)}


def _format_name(item: msgspec.Struct) -> str:
    if isinstance(item, declaration.Run):
        return f"{item.preset}/{item.service}"
    return str(getattr(item, "name"))  # noqa: B009


def _diff_items(
    kind: str, before: dict[str, msgspec.Struct], after: dict[str, msgspec.Struct]
) -> list[str]:
    lines = []
    for name in sorted({*before, *after}):
        old, new = before.get(name), after.get(name)
        if old is None:
            lines.append(f"+ {kind} {name}")
        elif new is None:
            lines.append(f"- {kind} {name}")
        else:
            lines += _diff_fields(f"{kind} {name}", old, new)
    return lines


def _diff_fields(location: str, old: msgspec.Struct, new: msgspec.Struct) -> list[str]:
    lines = []
    for field in new.__struct_fields__:
        old_value, new_value = getattr(old, field), getattr(new, field)
        if old_value != new_value:
            lines.append(f"~ {location}: {field} {_render(old_value)} -> {_render(new_value)}")
    return lines


def _render(value: typing.Any) -> str:
    if isinstance(value, dict):
        return " ".join(f"{name}:{count}" for name, count in sorted(value.items())) or "none"
    if isinstance(value, list):
        return ", ".join(value) or "none"
    return str(value) or "none"
