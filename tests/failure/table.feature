Feature: Every result code is documented

  Scenario: docs/errors.md matches the rendered table of result codes
    When galenavane runs "errors"
    Then it exits with 0
    And its output is the text of "docs/errors.md"

  Scenario: Every result code has a row
    Then every result code has a row in the table
