"""Steps that read generated INI text."""

from __future__ import annotations

import hypothesis
from behave import then
from hypothesis import strategies

from galenavane.config import canonical, declaration_files, ini
from galenavane.failure import failure

HYPOTHESIS_SETTINGS = hypothesis.settings(
    derandomize=True, database=None, deadline=None, max_examples=300
)
FRAGMENTS = [
    "[",
    "]",
    "=",
    ":",
    "\n",
    " ",
    "#",
    "%",
    "\0",
    "run",
    "a/b",
    "service x",
    "kind",
    "model",
]
FRAGMENTS += [
    "members",
    "-1",
    "1e999",
    "nan",
    "replicas",
    "d:1",
    "é",
    "DEFAULT",
    "preset p",
    ",",
    "x",
]


@then("reading any INI text gives declarations or one user error")
def check_any_text(context):
    examples = context.root / "examples" / "dodoma"
    valid_text = "\n".join(path.read_text() for path in sorted(examples.glob("*.ini")))
    assert declaration_files.read_parsers([("good", ini.read_text(valid_text, "good"))]).services

    @HYPOTHESIS_SETTINGS
    @hypothesis.given(
        strategies.lists(strategies.sampled_from(FRAGMENTS), max_size=30).map("".join),
        strategies.integers(0, len(valid_text)),
        strategies.booleans(),
    )
    def check(noise, offset, is_alone):
        text = noise if is_alone else valid_text[:offset] + noise + valid_text[offset:]
        try:
            declared = declaration_files.read_parsers([("noise", ini.read_text(text, "noise"))])
        except failure.UserError as exc:
            assert "\n" not in str(exc), exc
        else:
            assert canonical.decode_sections(canonical.encode_sections(declared)) == declared

    check()
