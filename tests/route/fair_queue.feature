Feature: Fair queue between accounts inside priority classes

  Scenario: The queue serves in the order of a naive one that recomputes everything
    Then random pushes, pops and removals leave the fair queue and the naive one in the same order

  Scenario: A hot account can't starve another
    Given a fair queue with 200 requests of account "hot"
    And 3 requests of account "quiet" pushed to the fair queue later
    Then the fair queue serves all 3 of account "quiet" within 8 pops

  Scenario: A higher class goes first
    Given a fair queue with 5 requests of account "hot"
    And a fair queue request of the first class
    Then the fair queue's head is of the first class
