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
    """One section of an INI file.

    :ivar source: name of the file.
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

    :raises failure.UserError: with the first error, naming file, section and key if it has them.
    """
    if not folder.is_dir():
        text = f'folder "{folder}" does not exist'
        raise failure.UserError(failure.Failure(codes.Code.FILE_MISSING, text))
    paths = sorted(folder.glob("*.ini"))
    return read_parsers([(str(path), ini.read_file(path)) for path in paths])


def read_parsers(
    parsers: abc.Sequence[tuple[str, configparser.ConfigParser]],
) -> declaration.Declarations:
    """Build and check declarations from parsed INI files.

    :param parsers: pairs of file name and parsed file.
    :raises failure.UserError: with the first error, naming file, section and key if it has them.
    """
    sections = [section for source, parser in parsers for section in _list_sections(source, parser)]
    _check_unique(sections)
    declared = declaration.Declarations(
        deployment=_build_deployment(sections),
        services=_build_items(sections, "service", declaration.Service),
        models=_build_items(sections, "model", declaration.Model),
        accounts=_build_items(sections, "account", declaration.Account),
        presets=_build_items(sections, "preset", declaration.Preset),
        runs=_build_items(sections, "run", declaration.Run),
    )
    check.check(declared)
    return declared


def _list_sections(source: str, parser: configparser.ConfigParser) -> list[_Section]:
    sections = []
    for header in parser.sections():
        kind, _, name = header.partition(" ")
        if kind not in _TYPES:
            raise _make_error(f'{source}: section "{header}" is not known')
        sections.append(_Section(source, kind, name.strip(), dict(parser[header])))
    return sections


def _check_unique(sections: list[_Section]) -> None:
    sources: dict[tuple[str, str], str] = {}
    for section in sections:
        key = (section.kind, section.name)
        if key in sources:
            raise _make_error(
                f'{section.source}: {section.kind} "{section.name}" is already in {sources[key]}'
            )
        sources[key] = section.source


def _build_deployment(sections: list[_Section]) -> declaration.Deployment:
    deployments = [section for section in sections if section.kind == "deployment"]
    if len(deployments) != 1:
        raise _make_error('exactly one section "deployment NAME" is required')
    return _build(deployments[0], declaration.Deployment)


def _build_items(sections: list[_Section], kind: str, cls: type[_T]) -> list[_T]:
    matching = sorted(
        (section for section in sections if section.kind == kind), key=lambda section: section.name
    )
    return [_build(section, cls) for section in matching]


def _build(section: _Section, cls: type[_T]) -> _T:
    fields = {field.name: field for field in msgspec.structs.fields(typing.cast(typing.Any, cls))}
    values: dict[str, object] = _name_fields(section)
    for key, text in section.values.items():
        location = f'{section.source}: key "{key}" in section "{section.kind} {section.name}"'
        if key not in fields or key in values:
            raise _make_error(f"{location} is not known")
        values[key] = _parse(location, text, fields[key].type)
    try:
        return msgspec.convert(values, cls, strict=False)
    except msgspec.ValidationError as exc:
        raise _make_error(
            f'{section.source}: section "{section.kind} {section.name}": {exc}'
        ) from None


def _name_fields(section: _Section) -> dict[str, object]:
    if section.kind != "run":
        return {"name": section.name}
    preset, _, service = section.name.partition("/")
    return {"preset": preset, "service": service}


def _parse(location: str, text: str, field_type: object) -> object:
    if typing.get_origin(field_type) is list:
        lines = text.replace(",", "\n").splitlines()
        return [line.strip() for line in lines if line.strip()]
    if typing.get_origin(field_type) is dict:
        return dict(_parse_count(location, word) for word in text.split())
    return text


def _parse_count(location: str, word: str) -> tuple[str, int]:
    name, _, count = word.partition(":")
    if not (name and count.isdigit()):
        raise _make_error(f'{location}: "{word}" is not DATA_CENTRE:COUNT')
    return name, int(count)


def _make_error(text: str) -> failure.UserError:
    return failure.UserError(failure.Failure(codes.Code.BAD_DECLARATION, text))
