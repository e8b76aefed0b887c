Feature: Instances that fail repeatedly are held back

  Scenario Outline: The hold time grows with the number of losses
    When an instance falls silent <losses> times, each for 5 seconds
    Then it is held back for <seconds> seconds after the last loss

    Examples:
      | losses | seconds |
      | 1      | 0       |
      | 2      | 15      |
      | 4      | 60      |
      | 12     | 600     |

  Scenario: A restart counts once
    When an instance falls silent for 600 seconds and comes back as a new incarnation
    Then it is held back for 0 seconds after the last loss
