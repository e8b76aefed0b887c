Feature: Groups that are kept up to date instead of being assembled again

  A fleet of 880 targets changes many times a second while groups are repaired.

  Scenario Outline: The index always shows the groups that assembling all targets shows
    Then 2000 random changes of a list of 40 targets with seed <seed> keep index and list equal

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |

  Scenario: A change assembles only the groups that it concerns
    Given a list with 880 targets in groups of 4
    When one target leaves its group
    Then 1 group is assembled again

  Scenario: Changed constants of the engine assemble all groups again
    Given a list with 880 targets in groups of 4
    When the size of the model is declared anew
    Then no group is complete
