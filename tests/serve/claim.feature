Feature: An idempotency key is claimed once

  Scenario: A create whose answer was lost is settled by reading back
    Given a record platform that loses the answer of write 1
    Then attempt "a" claims the key

  Scenario: A create that was lost on its way is made again
    Given a record platform that drops write 1
    Then attempt "a" claims the key

  Scenario: A repeat learns of the attempt that runs
    Given a record platform
    Then attempt "a" claims the key
    And attempt "b" is told in_progress
    And attempt "b" after the lapse is told outcome_unknown
    And attempt "c" with another body is told key_reused

  Scenario: A request that was not run may be tried again, once
    Given a record platform
    Then attempt "a" claims the key
    And attempt "a" ends as not_run
    And attempts "b" and "c" at once make one claim

  Scenario: A create that arrives late never starts a second run
    Given a record platform that delays write 1 past write 4
    Then attempt "a" claims the key
    And attempt "a" ends as not_run
    And attempt "b" claims the key
    And the delayed write arrives
    And attempt "b" still holds the key

  Scenario: A closing write whose answer was lost is settled by reading back
    Given a record platform that loses the answer of write 2
    Then attempt "a" claims the key
    And attempt "a" ends as answered
    And attempt "b" gets the recorded answer

  Scenario: An answer that is too large to keep is not cut off
    Then an answer of 65537 bytes is recorded without its body
    And an answer of 65536 bytes is recorded whole

  Scenario: No record, no run
    Given a record platform that is down
    Then attempt "a" is told not_run
