Feature: Which entry commands the targets

  Scenario: The first entries claim a lease that nobody has, and one gets it
    Given 6 entries without a lease
    When the entries run for 1 s
    Then exactly 1 entry holds the lease

  Scenario: A killed holder is followed within two seconds
    Given 6 entries without a lease
    When the entries run for 3 s
    And the holder is killed
    And the entries run for 2 s
    Then exactly 1 entry holds the lease
    And its number has grown

  Scenario: A holder that gives the lease up is followed at once
    Given 6 entries without a lease
    When the entries run for 3 s
    And the holder stops
    And the entries run for 0.5 s
    Then exactly 1 entry holds the lease

  Scenario: A frozen holder knows that its lease has run out
    Given 6 entries without a lease
    When the entries run for 3 s
    And the holder is frozen for 4 s
    Then the frozen entry does not hold the lease when it wakes
    And exactly 1 entry holds the lease

  Scenario: A lost answer of a renewal is settled by reading
    Given 6 entries without a lease
    When the entries run for 3 s
    And the answer to the next renewal is lost
    And the entries run for 3 s
    Then exactly 1 entry holds the lease
    And its number is the same
