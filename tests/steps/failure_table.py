"""Steps for the table of result codes."""

from __future__ import annotations

from behave import then

from galenavane.failure import code, table


@then('its output is the text of "{path}"')
def compare_page(context, path):
    assert context.stdout == (context.root / path).read_text(), "run `galenavane errors` anew"


@then("every result code has a row in the table")
def compare_codes(context):
    assert set(table.ROWS) == set(code.Code)
