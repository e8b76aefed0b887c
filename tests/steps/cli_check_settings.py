"""Steps for ``galenavane check-settings``."""

from __future__ import annotations

import contextlib
import io

from behave import given, then, when

from galenavane.cli import check_settings

VALID_SETTINGS = """[entry]
name = e1
data_centre = dc
host = 127.0.0.1
callers = 127.0.0.1:7001
readiness = 127.0.0.1:7002
peer_port = 7000
[stop]
grace = 3
[store]
address = 127.0.0.1:7003
"""


@given("a settings file of an entry on a platform")
def write_file(context):
    context.content = VALID_SETTINGS


@given('its line "{line}" is missing')
def remove_line(context, line):
    assert line in context.content
    context.content = context.content.replace(f"{line}\n", "")


@given('its line "{line}" reads "{new_line}"')
def change_line(context, line, new_line):
    assert line in context.content
    context.content = context.content.replace(line, new_line)


@when("it is checked")
def check(context):
    path = context.folder / "entry.ini"
    path.write_text(context.content)
    out, err = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
        context.code = check_settings.check_settings(path)
    context.out, context.err = out.getvalue(), err.getvalue()


@then("the command succeeds and reports no error")
def check_correct(context):
    assert (context.code, context.err) == (0, ""), context.err
    assert "correct" in context.out


@then('the command fails and names "{first}", "{second}" and "{third}" on lines of their own')
def check_errors(context, first, second, third):
    lines = context.err.splitlines()
    assert context.code == 1
    for word in (first, second, third):
        assert sum(f'"{word}"' in line for line in lines) == 1, lines
