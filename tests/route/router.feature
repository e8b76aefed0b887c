Feature: Admission and picking of one entry

  Scenario: Estimates and picks agree with a naive version that recomputes from the history
    Then random routing events give the same decisions as a naive recomputation

  Scenario: A request that can't get a group before its deadline is refused at once
    Given a router with 1 group of 4 places
    When 60 routed requests of account "a" arrive within 3 seconds with 2 seconds to go
    Then some routed requests are refused with code DEADLINE, not run and a retry time
    And no routed request is granted after its deadline

  Scenario: The queue is bounded for each account
    Given a router with 1 group of 1 places
    When 400 routed requests of account "a" arrive within 1 seconds with 5000 seconds to go
    Then at most 250 routed requests wait

  Scenario: Retries have a budget
    Given a router with 1 group of 100 places
    When 50 routed requests arrive as retries
    Then 20 routed retries are granted and the others refused with code RETRY_BUDGET

  Scenario: Nothing is granted once the proof of completeness has lapsed
    Given a router with 1 group of 4 places
    When the proof of the routed group lapses and a request arrives
    Then the routed request waits

  Scenario: A waiting request of the first class gets the next place
    Given a router with 1 group of 1 places
    When routed requests of classes 1, 1, 1 and 0 arrive and the first one ends
    Then the routed request of class 0 has been granted second

  Scenario: A request that waited in vain is not charged
    Given a router with 1 group of 1 places
    When a routed request of an account with 1 token a second waits until its deadline
    Then that account may send another routed request at once
