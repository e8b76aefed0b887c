Feature: Requests to plain services

  Scenario: Other targets are preferred for a while after failures
    Then a plain target that failed twice is not preferred for 2 seconds

  Scenario: A lookup without a response is retried on another target, an order is not
    Given a small deployment whose next connection to a target does not respond
    Then a lookup is answered and an order fails with unknown

  Scenario: Callers cannot set the fields that entries set for targets
    Given a small deployment
    Then a target gets the account "caller" although the caller sends x-account "other"
    And a target gets no field that is listed in the caller's Connection field

  Scenario: A leaving target gets no requests
    Given a small deployment whose targets are leaving
    Then an order fails with not_run and no target executes it

  Scenario: A response to another request is not forwarded to the caller
    Given a small deployment
    Then a response with the id of another request fails with wrong_answer

  Scenario Outline: Only requests with a declared, unambiguous path are idempotent
    Then with "POST /search*" declared idempotent, "<call>" is idempotent: <expected>

    Examples:
      | call                     | expected |
      | POST /search/kits        | True     |
      | POST /orders             | False    |
      | GET /search              | False    |
      | POST /search/../orders   | False    |
      | POST /search/%2e%2e/x    | False    |
      | POST /search//orders     | False    |
