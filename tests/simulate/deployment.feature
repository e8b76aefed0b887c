Feature: A whole deployment on a virtual clock

  Scenario: One seed gives the same run to the byte
    Then two simulated deployments with seed 7 log the same events

  Scenario: A streamed answer comes back whole
    Then a simulated deployment with seed 1 answers 20 completions through 3 entries

  Scenario: A job is placed once though its caller sends it through two entries
    Then a simulated deployment with seed 2 runs a job once that two entries get at once

  Scenario: A killed member takes its group out and the group is formed again
    Then a simulated deployment with seed 3 forms its groups again after a member is killed
