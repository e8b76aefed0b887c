Feature: At most one entry of a data centre holds the lease

  Scenario: A renewal whose response was lost is resolved by reading the lease
    Given a lease held since second 0
    When its renewal at second 2 takes effect and the response is lost
    And the lease is read at second 3
    Then the lease is held until second 7.5

  Scenario: A delayed renewal extends the lease only from the time at which it was sent
    Given a lease held since second 0
    When its renewal at second 2 is pending without a response
    And the lease is read unchanged at second 4
    And that renewal takes effect at second 4.5
    And another renewal at second 8 conflicts
    And the lease is read at second 8.1
    Then the lease is held until second 7.5

  Scenario: A successor waits until the lease has expired by the clocks of both entries
    Given a lease held since second 0
    When another entry reads it at second 0.1
    Then the other entry may claim it at second 7.6 and not before

  Scenario: A released lease is claimed at once
    Given a lease held since second 0
    When it is released at second 1
    And another entry reads it at second 1
    Then the other entry may claim it at once at second 1

  Scenario: A platform that returns to older data never makes the token decrease
    Given a lease held since second 0
    When another entry reads it at second 0
    And the platform loses the lease object
    And another entry reads it at second 1
    Then the other entry may claim it at second 8.5 and not before
    And the other entry claims it with token 2

  Scenario: A token that is known only from a target is not reused
    Given a lease held since second 0
    When a target reports token 9 at second 1
    Then the lease is not usable at second 1
    And the entry claims it with token 10 at second 8.5
