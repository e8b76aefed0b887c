Feature: The entries of a data centre share the asking of its targets

  Scenario: Each target has one first entry, and a leaving entry moves only its own
    Then 16 entries share the asking of 460 instances evenly and one that goes moves its own only

  Scenario: Many remote targets are left to their own entries
    Then of 460 own and 201 remote instances 460 are asked, and of 460 and 200 all

  Scenario: Three entries ask each target once a period
    Then in a simulated deployment with seed 11 of 3 entries a target is asked 15 to 40 times in 10 s

  Scenario: A killed entry's targets are asked before the proofs lapse
    Then in a simulated deployment with seed 12 groups stay complete for the others when an entry is killed
