Feature: Commands to targets

  Scenario: A command to an instance that fell silent is not sent
    Given a planned data centre with 8 instances in 2 domains and 2 groups of 2
    When every member has forgotten its group and one is silent
    Then 3 members are commanded to join

  Scenario: Nothing is commanded once a target shows a newer holder's token
    Given a planned data centre with 8 instances in 2 domains and 2 groups of 2
    When every member has forgotten its group and one shows token 9
    Then 0 members are commanded to join

  Scenario: Loads stay under the rate of the weight store
    Given a data centre with 200 idle instances and 10 groups of 8 planned
    Then at most 32 loads are commanded at once

  Scenario: Free instances of a domain load the weights that its groups use
    Given a planned data centre with 8 instances in 2 domains and 2 groups of 2
    Then the free instances are commanded to load each rank's weights
