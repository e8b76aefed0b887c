Feature: Soak runs of simulated deployments

  Scenario: Two soak runs of one seed log the same events
    Then two soak runs of seed 1 have the same events

  Scenario: Fixed soak seeds violate no invariant, leave nothing stuck and log no API key
    Then the soak seeds 2, 4 violate no invariant

  Scenario: A soak run detects an unconditional write of the configuration head
    Then the soak detects the mutant "write the head unconditionally" in a race of two operators
