Feature: Account limits shared between entries

  Scenario: The shares of all sides of a partition stay below the maximum overshoot
    Then for any demand and any partition of up to 16 entries the shares add up to less than the overshoot

  Scenario: The shares of entries that reach each other add up to the limit
    Then for any demand the shares of entries that all reach each other add up to 1

  Scenario: An account keeps most of its limit when half of the entries are unreachable
    Then with 3 of 6 entries unreachable the others' shares add up to at least 0.66

  Scenario: An account over its limit is refused with a retry time
    Given account limits at a single entry
    When an account limited to 10 requests per second sends 100 in one second
    Then between 10 and 21 of them are allowed and the others get a retry time
