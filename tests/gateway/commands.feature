Feature: Commands that an entry sends to targets, over loopback

  Scenario: The first join of each target is conditional on the commands that it has accepted
    Given a platform with 2 domains of 6 targets, and an entry
    Then each target's first join expects that it has accepted no command
    And all these steps succeed

  Scenario: A join that is carried out late doesn't take a target out of its group
    Given a platform with 2 domains of 6 targets, and an entry
    When a spare carries out its next 2 joins late, without an answer
    And a member of the spare's domain dies
    Then both domains serve again within 5 s
    And the late joins have changed nothing
    And the spare is still in a serving group
    And all these steps succeed

  Scenario Outline: A target's report updates the list only while the store is silent
    Given a target that is listed as open, and a report that it is ready
    When the report is asked for while the store is silent, and <event> before it arrives
    Then the target is known as <state>

    Examples:
      | event             | state |
      | nothing happens   | ready |
      | the store answers | open  |

  Scenario Outline: Changes that the store tells late don't take the list back
    Given an entry whose list of revision 140 shows a target as open
    When its watch returns the target as ready in revision <revision>
    Then the target is known as <state>

    Examples:
      | revision | state |
      | 110      | open  |
      | 140      | open  |
      | 150      | ready |
