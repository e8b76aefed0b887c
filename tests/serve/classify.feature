Feature: What a broken exchange proves

  Scenario Outline: The outcome follows from the connection
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

  Scenario Outline: The outcome follows from the target's answer
    Then an answer with status <status> and refusal mark "<mark>" has outcome <outcome>

    Examples:
      | status | mark | outcome  |
      | 201    |      | answered |
      | 404    |      | answered |
      | 500    |      | failed   |
      | 503    |      | unknown  |
      | 503    | 1    | not_run  |
      | 201    | 1    | answered |

  Scenario: A refusal after a try that may have run doesn't hide it
    Then of the outcomes "unknown" then "not_run" a caller is told "unknown"
    And of the outcomes "not_run" then "failed" a caller is told "failed"
