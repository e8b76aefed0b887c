Feature: Removing expired idempotency records

  Scenario: Every shard is swept by exactly one data centre, at a limited rate
    Then the shards of 26 data centres are 4096, each swept by one data centre
    And the sweep of 26 data centres lists 0.2 shards per second in total

  Scenario: Only records past their lifetime are selected, and invalid ones are kept
    Then of records from 1, 23 and 25 hours ago and an invalid one, only the oldest is expired

  Scenario: A record that changed after it was listed is kept
    Then a sweep keeps a record that is written between list and delete
