Feature: Routing decisions of one entry

  Scenario: Decisions agree with a naive recomputation from the history
    Then random routing events give the same decisions as a naive recomputation

  Scenario: A request that can't be granted a group before its deadline is refused at once
    Given a router with 1 group of 4 slots
    When 60 routed requests of account "a" arrive within 3 seconds with deadlines 2 seconds later
    Then some routed requests are refused with code DEADLINE, outcome not_run and a retry time
    And no routed request is granted after its deadline

  Scenario: The queue of each account is limited
    Given a router with 1 group of 1 slots
    When 400 routed requests of account "a" arrive within 1 seconds with deadlines 5000 seconds later
    Then at most 250 routed requests wait

  Scenario: Retries are limited by a budget
    Given a router with 1 group of 100 slots
    When 50 routed requests arrive as retries
    Then 20 routed retries are granted and the others refused with code RETRY_BUDGET

  Scenario: Nothing is granted once reports no longer prove that the group is complete
    Given a router with 1 group of 4 slots
    When the proof that the routed group is complete expires and a request arrives
    Then the routed request waits

  Scenario: A queued request of the highest class gets the next free slot
    Given a router with 1 group of 1 slots
    When routed requests of classes 1, 1, 1 and 0 arrive and the first one ends
    Then the routed request of class 0 has been granted second

  Scenario: A request that is refused after waiting is not charged
    Given a router with 1 group of 1 slots
    When a routed request of an account with 1 token per second waits until its deadline
    Then that account may send another routed request at once
