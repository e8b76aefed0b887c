"""Reads INI files; errors name the file."""

from __future__ import annotations

import configparser
import pathlib

from galenavane.failure import code as codes
from galenavane.failure import failure


def read_file(path: pathlib.Path) -> configparser.ConfigParser:
    """Read one INI file.

    :raises failure.UserError: when it is missing or malformed.
    """
    if not path.is_file():
        text = f'file "{path}" does not exist'
        raise failure.UserError(failure.Failure(codes.Code.FILE_MISSING, text))
    return read_text(path.read_text(encoding="utf-8", errors="replace"), str(path))


def read_text(text: str, source: str) -> configparser.ConfigParser:
    """Read INI text.

    :param source: name of the file for error messages.
    :raises failure.UserError: when it is malformed or a section occurs twice.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="\0")
    try:
        parser.read_string(text, source)
    except configparser.Error as exc:
        message = " ".join(str(exc).split())
        raise failure.UserError(failure.Failure(codes.Code.BAD_DECLARATION, message)) from None
    return parser
