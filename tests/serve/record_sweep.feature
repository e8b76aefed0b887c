Feature: Old idempotency records are removed within the call budget

  Scenario: Every shard is swept by one data centre
    Then the shards of 26 data centres are 4096, each swept by one
    And the sweep of 26 data centres lists 0.2 shards a second in all

  Scenario: Only records past their lifetime are removed, and only as they were listed
    Then of records begun 1, 23 and 25 hours ago and a damaged one only the last but one is removed

  Scenario: A record that changed since it was listed stays
    Then a sweep does not remove a record that is written between list and delete
