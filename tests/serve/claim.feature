Feature: Claiming an idempotency key at most once

  Scenario: A create whose response was lost is resolved by reading the record
    Given a record store that loses the response to write 1
    Then attempt "a" claims the key

  Scenario: A create that never reached the store is repeated
    Given a record store that drops write 1
    Then attempt "a" claims the key

  Scenario: A repeated request gets the state of the first attempt
    Given a record store
    Then attempt "a" claims the key
    And attempt "b" fails with in_progress
    And attempt "b" after run_until fails with outcome_unknown
    And attempt "c" with another body fails with key_reused

  Scenario: A request that was not executed can be claimed again by one attempt
    Given a record store
    Then attempt "a" claims the key
    And attempt "a" ends as not_run
    And attempts "b" and "c" at the same time result in one claim

  Scenario: A delayed create does not replace a later claim
    Given a record store that delays write 1 past write 4
    Then attempt "a" claims the key
    And attempt "a" ends as not_run
    And attempt "b" claims the key
    And the delayed write arrives
    And attempt "b" still holds the key

  Scenario: A final write whose response was lost is resolved by reading the record
    Given a record store that loses the response to write 2
    Then attempt "a" claims the key
    And attempt "a" ends as answered
    And attempt "b" gets the recorded response

  Scenario: A response that is too large to record is not truncated
    Then a response of 65537 bytes is recorded without its body
    And a response of 65536 bytes is recorded in full

  Scenario: A request whose key cannot be recorded is not executed
    Given a record store that is down
    Then attempt "a" fails with not_run
