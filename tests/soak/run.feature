Feature: Long randomised runs of whole deployments

  Scenario: A soak run of one seed is the same to the byte
    Then two soak runs of seed 1 have the same events

  Scenario: Fixed soak seeds hold every invariant, leave nothing stuck and log no bearer key
    Then the soak seeds 2, 4 break no invariant

  Scenario: A soak run catches a wrong version and shortens its schedule
    Then the soak catches "write the head unconditionally" in a race of two operators
