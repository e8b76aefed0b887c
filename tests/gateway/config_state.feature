Feature: How fresh an entry's word of the configuration is

  Scenario: Keys are used while the store confirms the configuration
    Given a configuration of version 5 confirmed at 100 s
    Then at 103 s keys may be used
    And at 104 s keys may not be used

  Scenario: A suspended machine does not believe its old word
    Given a configuration of version 5 confirmed at 100 s
    When the machine is suspended until 120 s
    Then at 120 s keys may not be used

  Scenario: A peer vouches by answering a message that was sent to it
    Given a configuration of version 5 confirmed at 100 s
    When a peer with version 5 and an age of 0.5 s answers at 110 s what was sent at 109 s
    Then at 112 s keys may be used
    And at 112.5 s keys may not be used

  Scenario: A peer's message that was held up for long proves little
    Given a configuration of version 5 confirmed at 100 s
    When a peer with version 5 and an age of 0 s answers at 120 s what was sent at 101 s
    Then at 120 s keys may not be used

  Scenario: A peer with another version vouches for nothing
    Given a configuration of version 5 confirmed at 100 s
    When a peer with version 6 and an age of 0 s answers at 110 s what was sent at 109 s
    Then at 110 s keys may not be used

  Scenario: Versions only go forwards
    Given a configuration of version 5 confirmed at 100 s
    When version 4 is offered at 101 s
    Then version 5 is in force

  Scenario: What is missing is denied only by fresh knowledge
    Given a configuration of version 5 confirmed at 100 s
    Then at 101.5 s a missing route does not exist
    And at 102 s a missing route may exist
