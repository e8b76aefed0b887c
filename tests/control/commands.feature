Feature: Commands to targets

  Scenario: No command is sent to an instance that stopped reporting
    Given a planned data centre with 8 instances in 2 domains and 2 groups of 2
    When every member reports no group and one is silent
    Then 3 members are commanded to join

  Scenario: No command is sent once a target reports a newer lease holder's token
    Given a planned data centre with 8 instances in 2 domains and 2 groups of 2
    When every member reports no group and one reports token 9
    Then 0 members are commanded to join

  Scenario: Concurrent loads stay within the limit of the weight store
    Given a data centre with 200 idle instances and 10 groups of 8 planned
    Then at most 32 loads are commanded at once

  Scenario: Free instances of a domain load the weights that its groups use
    Given a planned data centre with 8 instances in 2 domains and 2 groups of 2
    Then the free instances are commanded to load each rank's weights
