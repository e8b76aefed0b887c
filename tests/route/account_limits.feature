Feature: Limits of accounts, shared between entries

  Scenario: The shares of any partition stay under the stated overshoot
    Then for any demand and any partition of up to 16 entries the shares stay under the overshoot

  Scenario: Shares of entries that hear each other add up to the limit
    Then for any demand the shares of entries that all hear each other add up to 1

  Scenario: An account is not starved when half of the entries are gone
    Then with 3 of 6 entries silent the others' shares add up to at least 0.66

  Scenario: An account over its limit is refused with a retry time
    Given account limits at an entry alone
    When an account with 10 requests a second sends 100 in one second to its limits
    Then between 10 and 21 of them pass the limits and the others get a retry time
