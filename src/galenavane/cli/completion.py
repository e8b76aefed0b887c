"""``galenavane completion``."""

from __future__ import annotations

import inspect
import typing
from collections import abc

Commands = abc.Mapping[str, typing.Any]

_SCRIPT = """\
_galenavane() {{
    local word="${{COMP_WORDS[COMP_CWORD]}}" choices
    case "${{COMP_WORDS[*]:1:COMP_CWORD-1}}" in
{cases}
        *) choices="" ;;
    esac
    COMPREPLY=($(compgen -W "$choices" -f -- "$word"))
}}
complete -F _galenavane galenavane
"""


def make(commands: Commands) -> abc.Callable[[], int]:
    """Return a subcommand that prints the completion script for the given subcommands."""

    def completion() -> int:
        """Print a completion script for bash.

        Example: ``source <(galenavane completion)``
        """
        print(render(commands), end="")
        return 0

    return completion


def render(commands: Commands) -> str:
    """Return the bash script that completes subcommands, flags and files."""
    cases = [_render_case("", commands)]
    for name, command in commands.items():
        if isinstance(command, abc.Mapping):
            cases.append(_render_case(name, command))
            cases += [_render_flags(f"{name} {inner}", run) for inner, run in command.items()]
        else:
            cases.append(_render_flags(name, command))
    return _SCRIPT.format(cases="\n".join(cases))


def _render_case(typed_words: str, commands: Commands) -> str:
    return f'        "{typed_words}") choices="{" ".join(commands)}" ;;'


def _render_flags(typed_words: str, run: abc.Callable[..., int]) -> str:
    flags = [
        f"--{parameter.name.replace('_', '-')}"
        for parameter in inspect.signature(run).parameters.values()
        if parameter.kind is inspect.Parameter.KEYWORD_ONLY
    ]
    return f'        "{typed_words}"*) choices="{" ".join([*flags, "--help"])}" ;;'
