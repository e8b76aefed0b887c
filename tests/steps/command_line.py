"""Steps that run the command line in this process."""

from __future__ import annotations

import contextlib
import io
import shutil
import socket

from behave import given, then, when

from galenavane import run

VALID_SETTINGS = """[entry]
name = e1
data_centre = makole
callers = 127.0.0.1:8000
operators = 127.0.0.1:8001
peers = 127.0.0.1:8002
[platform]
address = 127.0.0.1:8003
"""


@given("the example declarations")
def copy_examples(context):
    shutil.copytree(context.root / "examples" / "dodoma", context.folder, dirs_exist_ok=True)


@given('file "{name}" with "{old}" replaced by "{new}"')
def replace_text(context, name, old, new):
    path = context.folder / name
    text = path.read_text()
    assert old in text
    path.write_text(text.replace(old, new))


@given("a model with adapters of more than 1 MB")
def write_large(context):
    names = "".join(f"    adapter-{number}-{'x' * 40}\n" for number in range(22_000))
    (context.folder / "large.ini").write_text(f"[model large]\nversions = v1\nadapters =\n{names}")


@given('settings with "{old}" replaced by "{new}"')
def write_settings(context, old, new):
    assert old in VALID_SETTINGS
    (context.folder / "entry.ini").write_text(VALID_SETTINGS.replace(old, new))


@given('settings with "{old}" replaced by ""')
def write_settings_without(context, old):
    write_settings(context, old, "")


@given("an address that is in use")
def take_address(context):
    context.taken = socket.create_server(("127.0.0.1", 0))
    context.address = f"127.0.0.1:{context.taken.getsockname()[1]}"
    context.add_cleanup(context.taken.close)


@when('galenavane runs "{line}"')
def run_command(context, line):
    address = getattr(context, "address", "")
    argv = line.format(folder=context.folder, address=address).split()
    stdout, stderr = io.StringIO(), io.StringIO()
    with contextlib.redirect_stdout(stdout), contextlib.redirect_stderr(stderr):
        try:
            run.main(argv)
        except SystemExit as exc:
            context.exit_code = exc.code
    context.stdout = stdout.getvalue()
    context.stderr = stderr.getvalue()


@then("it exits with {code:d}")
def check_exit(context, code):
    assert context.exit_code == code, (context.exit_code, context.stderr)


@then('it exits with {code:d} and one line that contains "{text}"')
def check_error(context, code, text):
    check_exit(context, code)
    lines = context.stderr.splitlines()
    assert len(lines) == 1, context.stderr
    assert text in lines[0], context.stderr


@then('its output contains "{text}"')
def check_stdout(context, text):
    assert text in context.stdout, context.stdout
