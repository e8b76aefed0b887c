Feature: The entries of a data centre share the polling of its targets

  Scenario: Each target is polled by one entry, and a leaving entry hands over only its own
    Then 16 entries share the polling of 460 instances evenly and one that leaves hands over only its own

  Scenario: Many remote targets are polled by their own entries only
    Then of 460 own and 201 remote instances 460 are polled, and of 460 and 200 all

  Scenario: Three entries poll each target once a period
    Then in a simulated deployment with seed 11 of 3 entries a target is polled 15 to 40 times in 10 s

  Scenario: A killed entry's targets are polled before their reports expire
    Then in a simulated deployment with seed 12 groups stay complete for the others when an entry is killed
