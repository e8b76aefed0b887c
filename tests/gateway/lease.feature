Feature: Lease on commanding the targets

  Scenario: Of several entries that claim a new lease, one gets it
    Given 6 entries without a lease
    When the entries run for 1 s
    Then exactly 1 entry holds the lease

  Scenario: Another entry takes the lease within two seconds after its holder is killed
    Given 6 entries without a lease
    When the entries run for 3 s
    And the holder is killed
    And the entries run for 2 s
    Then exactly 1 entry holds the lease
    And its fencing token is higher

  Scenario: Another entry takes a released lease at once
    Given 6 entries without a lease
    When the entries run for 3 s
    And the holder stops
    And the entries run for 0.5 s
    Then exactly 1 entry holds the lease

  Scenario: A frozen holder's lease has expired when it wakes
    Given 6 entries without a lease
    When the entries run for 3 s
    And the holder is frozen for 4 s
    Then the frozen entry does not hold the lease when it wakes
    And exactly 1 entry holds the lease

  Scenario: A renewal whose answer is lost is resolved by a read
    Given 6 entries without a lease
    When the entries run for 3 s
    And the answer to the next renewal is lost
    And the entries run for 3 s
    Then exactly 1 entry holds the lease
    And its fencing token is the same

  Scenario Outline: A holder that can't renew goes on only while nobody can claim the lease
    Then with <peers> known peers, of which those heard from have store ages <ages>, it <result>

    Examples:
      | peers | ages    | result  |
      | 0     | none    | goes on |
      | 5     | none    | stops   |
      | 5     | 3 4 3   | goes on |
      | 5     | 3 0.5 3 | stops   |

  Scenario: Only relays claim a lease whose holder is lost, while one of them lives
    Given 195 entries without a lease, 10 of them relays
    When the entries run for 3 s
    Then exactly 1 entry holds the lease
    And the store was called at most 60 times apart from renewals
    When the holder is killed
    And the entries run for 3 s
    Then exactly 1 entry holds the lease
    And the store was called at most 120 times apart from renewals

  Scenario: Another entry claims the lease when no relay does
    Given 195 entries without a lease, 10 of them relays
    When the relays are killed
    And the entries run for 4 s
    Then exactly 1 entry holds the lease

  Scenario: A holder whose lease lapsed goes on with its commands and epochs once it is renewed
    Given an entry that holds the lease of token 2 and has numbered 5 formations
    When the lease lapses
    Then the entry commands nothing
    When the lease is renewed
    Then the entry's next formation has number 6 of token 2

  Scenario: A holder that lost its lease to another entry starts anew when it gains it again
    Given an entry that holds the lease of token 2 and has numbered 5 formations
    When the lease lapses
    And the lease is granted with token 4
    Then the entry's next formation has number 1 of token 4
