Feature: The planner of a data centre

  Scenario: Plans keep groups in one domain, are deterministic and change nothing when repeated
    Then plans of random data centres are valid, stable and deterministic

  Scenario: The planner comes close to an exhaustive search on small data centres
    Then plans of 100 small data centres cost at most 1.1 times the best and equal it in 90 cases

  Scenario: The planner serves at least as much as a naive planner on large data centres
    Then plans of 10 large data centres serve no less than a naive planner

  Scenario: A group that a maintenance preset removes drains before its members are free
    Given a planned data centre with 12 instances in 2 domains and 4 groups of 2
    When 2 groups are required
    Then 2 groups serve and 2 groups drain
    When the draining groups have drained
    Then 2 groups serve and 0 groups drain

  Scenario: A version change uses spares first
    Given a planned data centre with 12 instances in 2 domains and 4 groups of 2
    When version "v2" is required
    Then 6 groups serve and 0 groups drain
    When the plan is carried out until nothing changes
    Then 4 groups serve and all run version "v2"
    And at least 4 groups served at every step

  Scenario: A version change without spares replaces one group at a time
    Given a planned data centre with 8 instances in 2 domains and 4 groups of 2
    When version "v2" is required
    Then 3 groups serve and 1 groups drain
    When the plan is carried out until nothing changes
    Then 4 groups serve and all run version "v2"
    And at least 3 groups served at every step

  Scenario: A lost member is replaced and the others keep the weights that they have
    Given a planned data centre with 12 instances in 2 domains and 2 groups of 4
    When a member of rank 2 is lost
    Then 2 groups serve and 0 groups drain
    And 1 instance has to load weights

  Scenario: A member that is leaving drains its group at once
    Given a planned data centre with 8 instances in 1 domains and 2 groups of 4
    When a member of rank 1 is leaving
    Then 1 groups serve and 1 groups drain

  Scenario: A less important group is preempted when that costs less
    Given a data centre with 5 instances in which 2 groups of 1 and 1 group of 3 serve
    When a member of the more important group of 3 is lost
    Then the plan drains 1 group of 1 and forms the group of 3 once that has drained

  Scenario: An entry that hears from few instances changes nothing
    Given a planned data centre with 12 instances in 2 domains and 4 groups of 2
    When 10 instances are silent
    Then the table stays as it is

  Scenario: Groups of a domain that falls silent are formed again in another one
    Given a planned data centre with 12 instances in 2 domains and 3 groups of 2
    When a domain falls silent
    Then 3 groups serve and 0 groups drain
