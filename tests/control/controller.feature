Feature: Commands that keep groups complete

  Scenario: A domain of eleven gets a group of each model, and a spare for each
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    Then 1 group of "large" and 1 group of "small" serve
    And a spare holds "large" and a spare holds "small"

  Scenario: A domain of 27 gets as many groups as its shares ask for, and three spares
    Given a fleet of 1 domain with 27 targets of models with 12 and 6 members and equal shares
    When the controller runs for 8 s
    Then 1 group of "large" and 2 groups of "small" serve

  Scenario: A lost member is replaced by a spare within a second
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    And a member of the group of "large" dies and is reported
    And the controller runs for 1 s
    Then 1 group of "large" and 1 group of "small" serve

  Scenario: A model that lost its group takes targets of the other one, without a load
    Given a fleet of 1 domain with 27 targets of models with 12 and 6 members and equal shares
    When the controller runs for 12 s
    And all spares and a member of the group of "large" die and are reported
    And the controller runs for 6 s
    Then 1 group of "large" and 1 group of "small" serve

  Scenario: A new holder without a target list doesn't take the fleet for a new one
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    And a controller takes over that has no target list yet
    And hosts keep only the model that their targets serve
    And the controller runs for 1 s
    Then no target was told to stage

  Scenario: Serving groups get no further commands
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    Then no command is given in the next 2 s

  Scenario: A leaving member is replaced after its group has finished its streams
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    And a member of the group of "large" is marked as leaving
    And the controller runs for 6 s
    Then 1 group of "large" and 1 group of "small" serve
    And the leaving target is in no group

  Scenario: A successor continues from what targets report
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 1.5 s
    And another controller takes over
    And the controller runs for 8 s
    Then 1 group of "large" and 1 group of "small" serve

  Scenario: A successor waits for a former holder's groups whose members load weights
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    And both spares and a member of the group of "large" die and are reported
    And a target without weights is added
    And the controller runs for 3 s
    And another controller takes over
    And the controller runs for 15 s
    Then 1 group of "large" and 1 group of "small" serve
    And no target loaded the same weights twice

  Scenario Outline: Despite losses and late commands, groups open complete and targets are in one at a time
    Given a fleet of 2 domains with 12 targets
    When members die, commands are lost or late and holders change, by seed <seed>
    Then no group opened before all of its members were ready
    And no target joined a group while it was in another that served
    And loads stayed within the rate of the weight store
    And after 40 s without faults every domain serves both models

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

  Scenario Outline: A join that is carried out late takes no target out of a serving group
    Given a fleet of 2 domains with 12 targets
    When targets die, holders end seconds before their successors, and joins are late, by seed <seed>
    Then no group opened before all of its members were ready
    And no target joined a group while it was in another that served
    And after 40 s without faults every domain serves both models

    Examples:
      | seed |
      | 53   |
      | 64   |
      | 151  |
      | 188  |
      | 203  |
      | 251  |
      | 332  |
      | 504  |
      | 565  |
      | 699  |
      | 758  |
      | 930  |

  Scenario Outline: An old list takes no target out of a serving group
    Given a fleet of 2 domains with 12 targets
    When the list is seconds old at times while targets die and joins are late, by seed <seed>
    Then no group opened before all of its members were ready
    And no target joined a group while it was in another that served
    And after 40 s without faults every domain serves both models

    Examples:
      | seed |
      | 63   |
      | 161  |
      | 173  |
      | 204  |
      | 216  |
      | 228  |
      | 369  |
      | 445  |

  Scenario Outline: A join confirmed after its target has left takes no target out of a serving group
    Given a fleet of 2 domains with 12 targets
    When connections are refused, reports slow and the list old at times, by seed <seed>
    Then no group opened before all of its members were ready
    And no target joined a group while it was in another that served
    And after 40 s without faults every domain serves both models

    Examples:
      | seed |
      | 130  |
      | 335  |
      | 402  |
      | 472  |

  Scenario: A new holder's first join of a target is conditional, and later ones are not
    Given a fleet of 1 domain with 11 targets
    When the controller runs for 8 s
    And another controller takes over
    And a member of the group of "large" dies and is reported
    And the controller runs for 3 s
    Then all joins of members that the new holder had not told to join before were conditional
    And there were joins of both kinds after another member of "large" died

  Scenario: Two services under one holder keep what is being done apart
    Given a holder of two services with one group of "large" each
    When a group of each service stalls and both services are decided in turn
    Then each service's group is still being dissolved
    And the load of each service is smoothed over its own time

  # Guards against the stall of one service's group that is taken for another one's.
  Scenario: The groups of two services under one holder have different names and epochs
    Given a holder of two services that numbers 3 formations of each in turn
    Then the 6 names and epochs are all different
