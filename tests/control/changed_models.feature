Feature: Groups whose model a configuration changes

  Scenario: The streams of a group are not cut when its model gets smaller groups
    Given a group of 6 members that serves
    When a configuration declares groups of 5 for its model
    Then no member is commanded to leave while the group serves

  Scenario: The streams of a group are not cut when its model is removed
    Given a group of 6 members that serves
    When a configuration no longer declares its model
    Then no member is commanded to leave while the group serves

  Scenario Outline: A group whose model is changed is closed, and dissolved when its head has ended its streams
    Given a group of 6 members that serves
    When a configuration <change>
    Then its head is commanded to close
    When 1 s later its head is still closing
    Then no member is commanded to leave while the group serves
    When 2 s later its head has closed
    Then all 6 members are commanded to leave

    Examples:
      | change                                 |
      | declares groups of 5 for its model     |
      | no longer declares its model           |

  Scenario: A group that lost a member is not taken for one whose model was changed
    Given a group of 6 members that serves
    When a configuration no longer declares its model, and a member is lost
    Then 5 members are commanded to leave
