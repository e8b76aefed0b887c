Feature: Groups while members are lost faster than weights load

  Scenario: Targets that hold weights don't wait for targets that load them
    Given two heavy days of a fleet of 162 targets
    When groups are formed at once and wait for members that load
    And spares load, and groups are formed from targets that hold the weights
    Then at least 0.85 of the needed groups of each model serve, and 0.1 more than with waiting
