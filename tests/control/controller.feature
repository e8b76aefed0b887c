Feature: Commands that keep groups whole

  Scenario: A domain of eleven gets a group of each model, and a spare for each
    Given a fleet of 1 domain with 11 targets
    When the steward works for 8 s
    Then 1 group of "large" and 1 group of "small" serve
    And a spare holds "large" and a spare holds "small"

  Scenario: A domain of 27 gets as many groups as its shares ask for, and three spares
    Given a fleet of 1 domain with 27 targets of models with 12 and 6 members and equal shares
    When the steward works for 8 s
    Then 1 group of "large" and 2 groups of "small" serve

  Scenario: A lost member is replaced by a spare within a second
    Given a fleet of 1 domain with 11 targets
    When the steward works for 8 s
    And a member of the group of "large" dies and is reported
    And the steward works for 1 s
    Then 1 group of "large" and 1 group of "small" serve

  Scenario: A model that lost its group takes targets of the other one, without a load
    Given a fleet of 1 domain with 27 targets of models with 12 and 6 members and equal shares
    When the steward works for 12 s
    And all spares and a member of the group of "large" die and are reported
    And the steward works for 6 s
    Then 1 group of "large" and 1 group of "small" serve

  Scenario: A holder that knows no targets yet takes the fleet for a running one
    Given a fleet of 1 domain with 11 targets
    When the steward works for 8 s
    And a steward takes over that has not seen the list yet
    And hosts keep only the model that their targets serve
    And the steward works for 1 s
    Then no target was told to stage

  Scenario: A group is left alone while its head lets others wait
    Given a fleet of 1 domain with 11 targets
    When the steward works for 8 s
    Then no command is given in the next 2 s

  Scenario: A leaving member is replaced after its group has finished
    Given a fleet of 1 domain with 11 targets
    When the steward works for 8 s
    And a member of the group of "large" is to leave
    And the steward works for 6 s
    Then 1 group of "large" and 1 group of "small" serve
    And the leaving target is in no group

  Scenario: A successor goes on with what targets say
    Given a fleet of 1 domain with 11 targets
    When the steward works for 1.5 s
    And another steward takes over
    And the steward works for 8 s
    Then 1 group of "large" and 1 group of "small" serve

  Scenario: Groups that a former holder ordered and whose weights load are waited for
    Given a fleet of 1 domain with 11 targets
    When the steward works for 8 s
    And both spares and a member of the group of "large" die and are reported
    And a target without weights is added
    And the steward works for 3 s
    And another steward takes over
    And the steward works for 15 s
    Then 1 group of "large" and 1 group of "small" serve
    And no target loaded the same weights twice

  Scenario Outline: Whatever is lost or late, groups are whole and targets in one at a time
    Given a fleet of 2 domains with 12 targets
    When members die, commands are lost or late and holders change, by seed <seed>
    Then no group opened before all of its members were ready
    And no target joined a group while it was in another that served
    And loads stayed within the rate of the weight store
    And when all is calm for 40 s every domain serves both models

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
      | 7    |
      | 8    |
      | 10   |
      | 55   |
      | 56   |
      | 92   |
