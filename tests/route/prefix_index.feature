Feature: Index of cached prefixes

  Scenario: The index knows what a naive replay of all events knows
    Then random cache events leave the prefix index and a naive replay with the same blocks

  Scenario: A gap in the events makes earlier blocks doubtful
    Given a prefix index that holds 8 blocks of group "g"
    When the prefix index misses an event of group "g"
    Then the prefix index credits group "g" with 4 blocks

  Scenario: A new incarnation has nothing cached
    Given a prefix index that holds 8 blocks of group "g"
    When group "g" sends the prefix index events of a new incarnation
    Then the prefix index credits group "g" with 0 blocks

  Scenario: The index stays within its bound
    Then a prefix index bounded to 64 blocks holds at most 64 after 1000 over 5 groups
