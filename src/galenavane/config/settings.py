"""Declares the settings of an entry process and reads settings files."""

from __future__ import annotations

import configparser
import pathlib
import typing
from collections import abc

from galenavane.config import ini, setting
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses
from galenavane.net import curve_key

_S = setting.Setting

NAME = _S("entry", "name", setting.parse_text, None, "", "Name of this entry, unique.")
DATA_CENTRE = _S("entry", "data_centre", setting.parse_text, None, "", "Where this entry runs.")
REGION = _S("entry", "region", setting.parse_text, "default", "", "Region of the data centre.")
CALLERS = _S("entry", "callers", addresses.parse, None, "IP:port", "Where callers are served.")
OPERATORS = _S(
    "entry", "operators", addresses.parse, None, "IP:port", "Where operators are served."
)
PEERS = _S("entry", "peers", addresses.parse, None, "IP:port", "Where other entries are heard.")
SEEDS = _S(
    "peers",
    "seeds",
    addresses.check_list,
    "",
    "IP:port ...",
    "Entries that are asked while the platform can't be reached.",
)
PEER_KEYS = _S(
    "peers",
    "keys",
    curve_key.check_list,
    "",
    "",
    "Secret keys between entries on one line: own first, then others still in use.",
)
PLATFORM = _S("platform", "address", addresses.parse, None, "IP:port", "The platform's object API.")
PLATFORM_TIMEOUT = _S(
    "platform", "timeout", setting.parse_number, 2.0, "seconds", "Longest wait for a call."
)
TARGET_TIMEOUT = _S(
    "targets", "timeout", setting.parse_number, 1.0, "seconds", "Longest wait for a control call."
)
REPORT_EVERY = _S(
    "targets", "report_every", setting.parse_number, 0.5, "seconds", "Time between two reports."
)
FIRST_TOKEN_DEADLINE = _S(
    "requests", "first_token", setting.parse_number, 10.0, "seconds", "Longest wait for a token."
)
PROGRESS_DEADLINE = _S(
    "requests", "progress", setting.parse_number, 3.0, "seconds", "Longest pause in a stream."
)
DRAIN_DEADLINE = _S(
    "requests",
    "drain",
    setting.parse_number,
    660.0,
    "seconds",
    "Longest wait for streams at a stop.",
)
RESUME_KEY = _S(
    "requests",
    "resume_key",
    setting.parse_text,
    "",
    "",
    "Secret that all entries share; signs resume tokens. Without it streams can't be resumed.",
)

ALL: tuple[_S[typing.Any], ...] = (
    NAME,
    DATA_CENTRE,
    REGION,
    CALLERS,
    OPERATORS,
    PEERS,
    SEEDS,
    PEER_KEYS,
    PLATFORM,
    PLATFORM_TIMEOUT,
    TARGET_TIMEOUT,
    REPORT_EVERY,
    FIRST_TOKEN_DEADLINE,
    PROGRESS_DEADLINE,
    DRAIN_DEADLINE,
    RESUME_KEY,
)

_T = typing.TypeVar("_T", str, int, float, bool, addresses.Address)


class Settings:
    """Checked settings of one process."""

    __slots__ = ("_values",)

    def __init__(self, values: dict[tuple[str, str], setting.Value]) -> None:
        self._values = values

    def get(self, declared_setting: setting.Setting[_T]) -> _T:
        """Return the value of a setting."""
        return typing.cast("_T", self._values[(declared_setting.section, declared_setting.key)])


DeclaredSettings = abc.Sequence[_S[typing.Any]]


def load(path: pathlib.Path, declared: DeclaredSettings = ALL) -> Settings:
    """Read and check a settings file.

    :param declared: settings that the file may contain.
    :raises failure.UserError: naming file, section and key of the first error.
    """
    parser = ini.read_file(path)
    unknown_keys = _find_unknown(path, parser, declared)
    if unknown_keys:
        raise unknown_keys[0]
    values = {
        (declared_setting.section, declared_setting.key): _read_value(
            path, parser, declared_setting
        )
        for declared_setting in declared
    }
    return Settings(values)


def find_errors(path: pathlib.Path, declared: DeclaredSettings = ALL) -> list[failure.UserError]:
    """Return every error in a settings file.

    :param declared: settings that the file may contain.
    :raises failure.UserError: when the file is missing or not an INI file.
    """
    parser = ini.read_file(path)
    errors = _find_unknown(path, parser, declared)
    for declared_setting in declared:
        try:
            _read_value(path, parser, declared_setting)
        except failure.UserError as exc:
            errors.append(exc)
    return errors


def _find_unknown(
    path: pathlib.Path, parser: configparser.ConfigParser, declared: DeclaredSettings
) -> list[failure.UserError]:
    known_keys = {(declared_setting.section, declared_setting.key) for declared_setting in declared}
    return [
        _make_error(f'{path}: key "{key}" is not known in section "{section}"')
        for section in parser.sections()
        for key in parser[section]
        if (section, key) not in known_keys
    ]


def _read_value(
    path: pathlib.Path,
    parser: configparser.ConfigParser,
    declared_setting: setting.Setting[typing.Any],
) -> setting.Value:
    text = parser.get(declared_setting.section, declared_setting.key, fallback=None)
    if text is None and declared_setting.default is not None:
        return typing.cast("setting.Value", declared_setting.default)
    location = f'{path}: key "{declared_setting.key}" in section "{declared_setting.section}"'
    if text is None:
        raise _make_error(f"{location} is missing")
    try:
        return typing.cast("setting.Value", declared_setting.parse(text))
    except ValueError as exc:
        raise _make_error(f"{location}: {exc}") from None


def _make_error(text: str) -> failure.UserError:
    return failure.UserError(failure.Failure(codes.Code.BAD_SETTING, text))
