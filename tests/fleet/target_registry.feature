Feature: Which targets may be used

  Scenario: A target whose record is missing is gone at once while the store answers
    Given a list with the members of an open group
    When the record of member 3 goes missing
    Then member 3 can't be used for a new group
    And the group is complete

  Scenario: A group whose member loses only its store connection goes on for some seconds
    Given a list with the members of an open group
    When the record of member 3 goes missing
    And 16 s pass on the list
    Then the group is not complete

  Scenario: A head whose record is gone stops serving
    Given a list with the members of an open group
    When the record of member 0 goes missing
    Then the group does not serve

  Scenario: A leaving member does not count once its record is gone
    Given a list with the members of an open group
    When member 3 is listed as leaving
    And the record of member 3 goes missing
    Then the group is not complete

  Scenario: Records that lapsed in an outage count for two seconds after it
    Given a list with the members of an open group
    When the store was silent for 3 s and is back
    And the record of member 0 goes missing
    And 1.5 s pass on the list
    Then the group serves
    When 1 s pass on the list
    Then the group does not serve

  Scenario: A target that is listed again in time is kept
    Given a list with the members of an open group
    When the store was silent for 3 s and is back
    And the record of member 0 goes missing
    And member 0 is listed again
    And 3 s pass on the list
    Then the group serves

  Scenario: An older list changes nothing
    Given a list with the members of an open group
    When an older list without targets arrives
    Then the group serves

  Scenario: A target that left a group before it was listed in it keeps that group's model
    Given a list with a target that was last in a group of "large"
    When it is listed in no group, with "small" as its last model
    Then its last model is "small"

  Scenario: A list of the current revision changes nothing
    Given a list with the members of an open group
    When a list of the same revision without targets arrives
    Then the group serves
