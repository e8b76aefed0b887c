Feature: Freshness of an entry's configuration

  Scenario: Keys are accepted while the store confirms the configuration
    Given a configuration of version 5 confirmed at 100 s
    Then at 103 s keys may be used
    And at 104 s keys may not be used

  Scenario: Keys are not accepted after the machine was suspended for long
    Given a configuration of version 5 confirmed at 100 s
    When the machine is suspended until 120 s
    Then at 120 s keys may not be used

  Scenario: A peer with the same version confirms it by echoing a heartbeat
    Given a configuration of version 5 confirmed at 100 s
    When a heartbeat arrives at 110 s with version 5, confirmed 0.5 s ago, and an echo from 109 s
    Then at 112 s keys may be used
    And at 112.5 s keys may not be used

  Scenario: A heartbeat that was delayed for long does not confirm the configuration
    Given a configuration of version 5 confirmed at 100 s
    When a heartbeat arrives at 120 s with version 5, confirmed 0 s ago, and an echo from 101 s
    Then at 120 s keys may not be used

  Scenario: A peer with another version confirms nothing
    Given a configuration of version 5 confirmed at 100 s
    When a heartbeat arrives at 110 s with version 6, confirmed 0 s ago, and an echo from 109 s
    Then at 110 s keys may not be used

  Scenario: An older version does not replace a newer one
    Given a configuration of version 5 confirmed at 100 s
    When version 4 is offered at 101 s
    Then version 5 is in force

  Scenario: Only a fresh configuration rules out a missing route
    Given a configuration of version 5 confirmed at 100 s
    Then at 101.5 s a missing route does not exist
    And at 102 s a missing route may exist
