"""Runs a subcommand of the command line and prints an error as one line."""

from __future__ import annotations

import sys
import typing
from collections import abc

import defopt

from galenavane.cli import (
    apply,
    check,
    check_settings,
    completion,
    diff,
    entry,
    errors,
    keys,
    load,
    preset,
    rollback,
    standin,
    status,
    timeline,
)
from galenavane.failure import code as codes
from galenavane.failure import failure
from galenavane.net import address as addresses

EXIT_USER_ERROR = 2
EXIT_INTERRUPTED = 130

COMMANDS: dict[str, typing.Any] = {
    "entry": entry.entry,
    "check": check.check,
    "check-settings": check_settings.check_settings,
    "diff": diff.diff,
    "apply": apply.apply,
    "preset": preset.preset,
    "rollback": rollback.rollback,
    "status": status.status,
    "timeline": timeline.timeline,
    "keys": keys.keys,
    "errors": errors.errors,
    "load": load.load,
    "standin": {
        "platform": standin.platform,
        "engine": standin.engine,
        "fleet": standin.fleet,
        "plain": standin.plain,
        "link": standin.link,
    },
}
COMMANDS["completion"] = completion.make(COMMANDS)


def main(argv: abc.Sequence[str] | None = None) -> typing.NoReturn:
    """Run one subcommand and exit.

    Exit codes: 0 success, 1 the command found a problem or a difference, 2 invalid input,
    130 interrupted.
    """
    try:
        sys.exit(_run(argv))
    except (failure.UserError, KeyboardInterrupt, BaseExceptionGroup) as exc:
        cause = _find_cause(exc)
        if isinstance(cause, KeyboardInterrupt):
            sys.exit(EXIT_INTERRUPTED)
        if not isinstance(cause, failure.UserError):
            raise
        print(f"galenavane: error {cause.failure.code.value}: {cause}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)


def _find_cause(exc: BaseException) -> BaseException:
    """Return the single exception inside nested groups, or the first group with several."""
    while isinstance(exc, BaseExceptionGroup) and len(exc.exceptions) == 1:
        exc = exc.exceptions[0]
    return exc


def _parse_address(text: str) -> addresses.Address:
    """Parse an address argument; the error is one line without the usage text of argparse."""
    try:
        return addresses.parse(text)
    except ValueError as exc:
        problem = failure.Failure(codes.Code.BAD_REQUEST, str(exc))
        raise failure.UserError(problem) from None


def _run(argv: abc.Sequence[str] | None) -> int:
    code = defopt.run(
        COMMANDS,
        argv=argv,
        argparse_kwargs={"prog": "galenavane"},
        parsers={addresses.Address: _parse_address},
        cli_options="has_default",
        no_negated_flags=True,
        show_types=False,
    )
    return int(code or 0)
