Feature: Index of cached prompt prefixes

  Scenario: The index agrees with a naive replay of all events
    Then after random cache events the prefix index and a naive replay hold the same blocks

  Scenario: A gap in the events makes earlier blocks uncertain
    Given a prefix index that holds 8 blocks of group "g"
    When the prefix index misses an event of group "g"
    Then the prefix index counts 4 blocks of group "g"

  Scenario: A new incarnation has no cached blocks
    Given a prefix index that holds 8 blocks of group "g"
    When group "g" sends the prefix index events of a new incarnation
    Then the prefix index counts 0 blocks of group "g"

  Scenario: The index stays within its maximum size
    Then a prefix index limited to 64 blocks holds at most 64 after 1000 were added for 5 groups
