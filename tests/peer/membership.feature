Feature: Entries track their peers with few and small messages

  Scenario: An entry is suspected after several missed heartbeats, not one, and cleared by the next
    Then membership suspects an entry only after several missed heartbeats

  Scenario: Messages of an earlier incarnation are ignored
    Then membership ignores messages of an earlier incarnation

  Scenario: An entry that restarts with its clock set back is accepted once it counts as silent
    Then membership accepts a silent entry whose clock was set back

  Scenario: A leaving entry is recognised from a single message
    Then membership learns that an entry is leaving from a single hello

  Scenario: Only one peer at a time is asked for a newer configuration
    Then membership requests a newer configuration from one peer at a time

  Scenario: Only a few entries of a data centre watch the platform
    Then membership chooses 3 watchers among 16 entries, and both of 2

  Scenario: Each of 410 entries sends and receives at most 4 KB per second
    Then membership of 410 entries in 26 data centres sends and receives under 4096 bytes per second

  Scenario: Shared state arrives complete in small deltas
    Then any shared state arrives complete in deltas of limited size

  Scenario: Malformed messages are dropped
    Then peer messages that are malformed, unknown or of another version are dropped

  Scenario: A removal reaches peers that get heartbeats in turn, even if some are lost
    Then keys removed from shared state disappear at 5 peers that get heartbeats in turn and lose every third

  Scenario: A restarted entry without known members is found by its peers before it counts as down
    Then membership of an entry restarted without seeds or a platform hears from a peer within 2.5 seconds
