Feature: Entries know each other by few and small messages

  Scenario: One missed beat suspects nobody, several do, and a beat clears it
    Then membership suspects an entry only after several missed beats

  Scenario: An earlier incarnation changes nothing
    Then membership ignores messages of an earlier incarnation

  Scenario: An entry that comes back with its clock set back is heard once it was silent
    Then membership hears an entry again whose clock was set back

  Scenario: A leaving entry is known to leave at once
    Then membership learns of a leaving entry from its first hello

  Scenario: Only one peer at a time is asked for a configuration
    Then membership asks one peer at a time for a newer configuration

  Scenario: Few entries of a data centre watch the platform
    Then membership names 3 watchers among 16 entries, and all of 2

  Scenario: The traffic of 410 entries stays within 4 KB a second each
    Then membership of 410 entries in 26 data centres sends and receives under 4096 bytes a second

  Scenario: Facts arrive whole in small parts
    Then facts of any kind arrive in parts of limited size

  Scenario: Damaged messages are dropped
    Then peer messages that are damaged, unknown or of another version are dropped

  Scenario: A removal reaches peers that get beats in turn, also when some are lost
    Then facts removed go away at 5 peers that get beats in turn and lose every third

  Scenario: A restarted entry that knows nobody is found by the others before it counts as gone
    Then membership of an entry restarted without seeds or a platform hears a peer within 2.5 seconds
