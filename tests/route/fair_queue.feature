Feature: Fair queue of accounts in priority classes

  Scenario: The queue serves in the order of a naive queue that recomputes all tags
    Then after random pushes, pops and removals the fair queue and the naive one serve in the same order

  Scenario: An account with many requests can't starve another
    Given a fair queue with 200 requests of account "hot"
    And 3 requests of account "quiet" pushed to the fair queue later
    Then the fair queue serves all 3 of account "quiet" within 8 pops

  Scenario: A higher priority class is served first
    Given a fair queue with 5 requests of account "hot"
    And a fair queue request of the highest class
    Then the fair queue serves the request of the highest class next
