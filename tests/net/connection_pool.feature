Feature: Idempotent calls over kept connections

  Scenario: Calls in a row share a connection
    Then 5 calls over kept connections open 1 connection

  Scenario Outline: A kept connection that has gone bad costs no answer
    Then a call over a kept connection that <fault> is answered over a fresh one within <seconds> s

    Examples:
      | fault            | seconds |
      | was reset        | 0.1     |
      | has gone silent  | 0.6     |

  Scenario: A kept connection that used up the time fails the call and not the caller
    Then a call that may spend all of its time on a kept silent connection fails in time

  Scenario: A target that hangs costs the whole timeout and no more
    Then a call over a kept connection to a frozen target fails as silent after 1 s
