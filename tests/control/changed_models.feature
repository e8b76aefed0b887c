Feature: Groups whose model a configuration changes

  Scenario: The streams of a group are not cut when its model gets smaller groups
    Given a group of 6 members that serves
    When a configuration declares groups of 5 for its model
    Then no member is commanded to leave while the group serves

  Scenario: The streams of a group are not cut when its model is removed
    Given a group of 6 members that serves
    When a configuration no longer declares its model
    Then no member is commanded to leave while the group serves
