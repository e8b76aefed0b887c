Feature: Which targets may be used

  Scenario: A missing entry is gone at once while the store answers
    Given a list with the members of an open group
    When the entry of member 3 goes missing
    Then member 3 can't be used for a new group
    And the group is whole

  Scenario: A group whose member stays silent to the store alone goes on for some seconds
    Given a list with the members of an open group
    When the entry of member 3 goes missing
    And 16 s go by on the list
    Then the group is not whole

  Scenario: A head whose entry is gone serves no more
    Given a list with the members of an open group
    When the entry of member 0 goes missing
    Then the group does not serve

  Scenario: A member that was about to leave does not count once its entry is gone
    Given a list with the members of an open group
    When member 3 is listed as leaving
    And the entry of member 3 goes missing
    Then the group is not whole

  Scenario: Entries that lapsed in an outage count for two seconds after it
    Given a list with the members of an open group
    When the store was silent for 3 s and is back
    And the entry of member 0 goes missing
    And 1.5 s go by on the list
    Then the group serves
    When 1 s go by on the list
    Then the group does not serve

  Scenario: An entry that is listed again in time was never gone
    Given a list with the members of an open group
    When the store was silent for 3 s and is back
    And the entry of member 0 goes missing
    And member 0 is listed again
    And 3 s go by on the list
    Then the group serves

  Scenario: An older list changes nothing
    Given a list with the members of an open group
    When a list that is older arrives without targets
    Then the group serves
