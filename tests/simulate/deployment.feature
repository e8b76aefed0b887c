Feature: Simulated deployment in virtual time

  Scenario: Two runs with one seed log identical events
    Then two simulated deployments with seed 7 log the same events

  Scenario: Completions through every entry return the whole text
    Then a simulated deployment with seed 1 answers 20 completions through 3 entries

  Scenario: A job sent through two entries with one idempotency key runs once
    Then a simulated deployment with seed 2 runs a job once that two entries get concurrently

  Scenario: A group is formed again after one of its members is killed
    Then a simulated deployment with seed 3 forms its groups again after a member is killed
