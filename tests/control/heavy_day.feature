Feature: Groups on a day on which members are lost faster than weights load

  Scenario: Targets that hold weights are not kept waiting for those that load
    Given two heavy days of a fleet of 162 targets
    When groups are formed at once and wait for members that load
    And spares load, and groups are formed of targets that hold the weights
    Then at least 0.85 of what is needed serves of each model, and 0.1 more than by waiting
