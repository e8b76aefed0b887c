Feature: Outcome of a failed exchange with a target

  Scenario Outline: The outcome of a transport error depends on whether bytes were sent
    Then a try that ended with <kind> after bytes sent <sent> has outcome <outcome>

    Examples:
      | kind          | sent  | outcome |
      | not_connected | False | not_run |
      | reset         | False | not_run |
      | malformed     | False | not_run |
      | reset         | True  | unknown |
      | silent        | True  | unknown |
      | malformed     | True  | unknown |
      | too_large     | True  | failed  |

  Scenario Outline: The outcome of a response depends on its status and refusal header
    Then a response with status <status> and refusal header "<mark>" has outcome <outcome>

    Examples:
      | status | mark | outcome  |
      | 201    |      | answered |
      | 404    |      | answered |
      | 500    |      | failed   |
      | 503    |      | unknown  |
      | 503    | 1    | not_run  |
      | 201    | 1    | answered |

  Scenario: A refusal does not hide an earlier try that may have been executed
    Then of the outcomes "unknown" then "not_run" the caller gets "unknown"
    And of the outcomes "not_run" then "failed" the caller gets "failed"
