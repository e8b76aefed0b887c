Feature: Targets that write an earlier answer once more

  Scenario Outline: A repeated answer is not taken for the answer to the next command
    Given a platform with 1 domains of 5 targets, and an entry
    When a target writes its earlier answer once more <time>
    And it answers the command to leave the group of epoch 5 with status 200
    And it answers the command to leave the group of epoch 9 with status 409
    Then it is known to have left the group of epoch 5 at most
    And all these steps succeed

    Examples:
      | time                               |
      | at once                            |
      | before it reads the next request   |
      | when it has read the next request  |

  Scenario Outline: A repeated answer is not taken for the next report
    Given a platform with 1 domains of 5 targets, and an entry
    When a target writes its earlier answer once more when it has read the next request
    And it answers <earlier>
    Then its next report is that of 7 commands and a group
    And all these steps succeed

    Examples:
      | earlier                                                     |
      | the command to leave the group of epoch 5 with status 200   |
      | a report of 6 commands and no group                         |
