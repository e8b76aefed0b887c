Feature: How long a request waits for a target that answers no attempt to connect

  Scenario Outline: A pause is waited for, a lost target is not
    Given attempts to connect that were not answered at <unanswered> s
    When a request of <time> s is received at <received> s
    Then it waits until <until> s

    Examples:
      | unanswered    | time | received | until |
      | 10            | 8    | 10       | 12    |
      | 10, 11        | 8    | 11       | 12    |
      | 10, 11, 12    | 8    | 12.5     | 12    |
      | 10            | 2    | 10       | 11    |
      | 10, 16, 22    | 8    | 22       | 12    |
      | 10, 20.5      | 8    | 20.5     | 22.5  |
      | 10, and again | 8    | 15       | 17    |

  Scenario: Targets that are no longer asked are forgotten
    Given attempts to connect to 50 targets, one each second, that were not answered
    Then at most 11 of them are known
