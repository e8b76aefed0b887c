Feature: Calls to plain services

  Scenario: A target that failed goes last for a while
    Then a plain target that failed twice goes last for 2 seconds and then not

  Scenario: A lookup is repeated at another target, an order is not
    Given a small deployment whose next connection to a target is silent
    Then a lookup is answered and an order is told unknown

  Scenario: Callers can't set what targets are told
    Given a small deployment
    Then a target gets the account "caller" though the caller says x-account "other"
    And a target gets no field that the caller's Connection names

  Scenario: A leaving target gets nothing
    Given a small deployment whose targets are leaving
    Then an order is told not_run and no target ran it

  Scenario: An answer that a target marks as another request's never reaches the caller
    Given a small deployment
    Then an answer that names another request is told as wrong_answer

  Scenario Outline: Only a declared call may be repeated, by a path that has one reading
    Then with "POST /search*" declared a call "<call>" is idempotent <expected>

    Examples:
      | call                     | expected |
      | POST /search/kits        | True     |
      | POST /orders             | False    |
      | GET /search              | False    |
      | POST /search/../orders   | False    |
      | POST /search/%2e%2e/x    | False    |
      | POST /search//orders     | False    |
