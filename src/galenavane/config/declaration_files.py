"""Reads declarations from a folder of INI files."""

from __future__ import annotations

import configparser
import pathlib
import typing
from collections import abc

import msgspec

from galenavane.config import check, declaration, ini
from galenavane.failure import code as codes
from galenavane.failure import failure

_T = typing.TypeVar("_T")


class _Section(msgspec.Struct, frozen=True):
    """One section with where it stands.

    :ivar kind: first word of the header.
    :ivar name: the rest of the header.
    """

    source: str
    kind: str
    name: str
    values: dict[str, str]


_TYPES: dict[str, type[msgspec.Struct]] = {
    "deployment": declaration.Deployment,
    "service": declaration.Service,
    "model": declaration.Model,
    "account": declaration.Account,
    "preset": declaration.Preset,
    "run": declaration.Run,
}


def read_folder(folder: pathlib.Path) -> declaration.Declarations:
    """Read and check every ``*.ini`` file of a folder.

    :raises failure.UserError: naming file, section and key.
    """
    if not folder.is_dir():
        text = f'folder "{folder}" does not exist'
        raise failure.UserError(failure.Failure(codes.Code.FILE_MISSING, text))
    paths = sorted(folder.glob("*.ini"))
    return read_parsers([(str(path), ini.read_file(path)) for path in paths])


def read_parsers(
    parsers: abc.Sequence[tuple[str, configparser.ConfigParser]],
) -> declaration.Declarations:
    """Build and check declarations from parsed INI files."""
    sections = [one for source, parser in parsers for one in _split(source, parser)]
    _check_unique(sections)
    found = declaration.Declarations(
        deployment=_build_deployment(sections),
        services=_build_all(sections, "service", declaration.Service),
        models=_build_all(sections, "model", declaration.Model),
        accounts=_build_all(sections, "account", declaration.Account),
        presets=_build_all(sections, "preset", declaration.Preset),
        runs=_build_all(sections, "run", declaration.Run),
    )
    check.check(found)
    return found


def _split(source: str, parser: configparser.ConfigParser) -> list[_Section]:
    sections = []
    for header in parser.sections():
        kind, _, name = header.partition(" ")
        if kind not in _TYPES:
            raise _wrong(f'{source}: section "{header}" is not known')
        sections.append(_Section(source, kind, name.strip(), dict(parser[header])))
    return sections


def _check_unique(sections: list[_Section]) -> None:
    seen: dict[tuple[str, str], str] = {}
    for one in sections:
        key = (one.kind, one.name)
        if key in seen:
            raise _wrong(f'{one.source}: {one.kind} "{one.name}" is already in {seen[key]}')
        seen[key] = one.source


def _build_deployment(sections: list[_Section]) -> declaration.Deployment:
    found = [one for one in sections if one.kind == "deployment"]
    if len(found) != 1:
        raise _wrong('there has to be one section "deployment NAME"')
    return _build(found[0], declaration.Deployment)


def _build_all(sections: list[_Section], kind: str, cls: type[_T]) -> list[_T]:
    found = sorted((one for one in sections if one.kind == kind), key=lambda one: one.name)
    return [_build(one, cls) for one in found]


def _build(section: _Section, cls: type[_T]) -> _T:
    fields = {field.name: field for field in msgspec.structs.fields(typing.cast(typing.Any, cls))}
    values: dict[str, object] = _name_fields(section)
    for key, text in section.values.items():
        where = f'{section.source}: key "{key}" in section "{section.kind} {section.name}"'
        if key not in fields or key in values:
            raise _wrong(f"{where} is not known")
        values[key] = _parse(where, text, fields[key].type)
    try:
        return msgspec.convert(values, cls, strict=False)
    except msgspec.ValidationError as exc:
        raise _wrong(f'{section.source}: section "{section.kind} {section.name}": {exc}') from None


def _name_fields(section: _Section) -> dict[str, object]:
    if section.kind != "run":
        return {"name": section.name}
    preset, _, service = section.name.partition("/")
    return {"preset": preset, "service": service}


def _parse(where: str, text: str, kind: object) -> object:
    if typing.get_origin(kind) is list:
        lines = text.replace(",", "\n").splitlines()
        return [line.strip() for line in lines if line.strip()]
    if typing.get_origin(kind) is dict:
        return dict(_parse_count(where, word) for word in text.split())
    return text


def _parse_count(where: str, word: str) -> tuple[str, int]:
    name, _, count = word.partition(":")
    if not (name and count.isdigit()):
        raise _wrong(f'{where}: "{word}" is not DATA_CENTRE:COUNT')
    return name, int(count)


def _wrong(text: str) -> failure.UserError:
    return failure.UserError(failure.Failure(codes.Code.BAD_DECLARATION, text))
