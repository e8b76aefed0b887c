Feature: Targets without groups that fall silent for a second or so and go on

  Such a target is sound: no answer ends because of its silence.

  Scenario Outline: A silent target's answer is waited for if no other target can give one
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 1 plain targets are in use
    And one plain target sends nothing for <seconds> s
    And a client sends <request> and waits
    Then it gets the target's answer after <seconds> to <limit> s
    And it was sent to p0
    And no connection was closed before its answer
    And all these steps succeed

    Examples:
      | request   | seconds | limit |
      | a look-up | 1.3     | 1.5   |
      | an order  | 1.3     | 1.5   |

  Scenario: All targets that are silent at once are waited for
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And each plain target sends nothing for 1.6 s
    And a client sends a look-up and waits
    Then it gets the target's answer after 1.6 to 1.8 s
    And it was sent to p0 and p1
    And all these steps succeed

  Scenario: An order at a silent target is sent once
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And one plain target sends nothing for 1.3 s
    And a client sends an order and waits
    Then it gets the target's answer after 1.3 to 1.5 s
    And it was sent to p0
    And all these steps succeed

  Scenario: A silent target is waited for if the budget allows no further send
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And no further sends are left in the budget
    And one plain target sends nothing for 1.3 s
    And a client sends a look-up and waits
    Then it gets the target's answer after 1.3 to 1.5 s
    And it was sent to p0
    And all these steps succeed

  Scenario: Another target's faster answer is used, and the silent target's connection is closed
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And one plain target sends nothing for 1.8 s
    And a client sends a look-up and waits
    Then it gets the target's answer after 0.85 to 1.2 s
    And it was sent to p0 and p1
    And the connection to p0 was closed
    And all these steps succeed

  Scenario Outline: A silent target's answer is used although another one failed meanwhile
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And one plain target sends nothing for 1.5 s
    And the next plain target <failure>
    And a client sends a look-up and waits
    Then it gets the target's answer after 1.5 to 1.7 s
    And it was sent to p0 and p1
    And all these steps succeed

    Examples:
      | failure               |
      | breaks its answer off |
      | refuses a request     |
      | fails a request       |

  Scenario: A request that a silent target may have run is not reported as not run
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And one plain target sends nothing for 1.3 s
    And the next plain target refuses a request
    And the next plain target breaks its answer off
    And a client sends a look-up and waits
    Then it gets status 502 after 1.3 to 1.5 s
    And it was sent to p0 and p1
    And all these steps succeed

  Scenario Outline: A request ends in time while its targets stay silent
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And each plain target sends nothing for 5 s
    And a client sends <request> and waits
    Then it gets status 504 after 1.9 to 2.2 s
    And it was sent to <names>
    And all these steps succeed

    Examples:
      | request   | names     |
      | a look-up | p0 and p1 |
      | an order  | p0        |

  Scenario: Both connections are closed when the client leaves
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And each plain target sends nothing for 5 s
    And a client sends a look-up and leaves after 1.2 s
    Then the connections to p0 and p1 were closed
    And all these steps succeed

  Scenario Outline: A target that accepts no connection is waited for if there is no other
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 8 s, and <count> plain targets are in use
    And <which> accepts no connection for 1.3 s
    And a client sends <request> and waits
    Then it gets the target's answer after 1.3 to 1.7 s
    And it was sent once
    And all these steps succeed

    Examples:
      | count | which             | request   |
      | 1     | one plain target  | a look-up |
      | 1     | one plain target  | an order  |
      | 2     | each plain target | a look-up |
      | 2     | each plain target | an order  |

  Scenario Outline: Another target replaces one that accepts no connection
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 8 s, and 2 plain targets are in use
    And one plain target accepts no connection for 1.3 s
    And a client sends <request> and waits
    Then it gets the target's answer after 0.2 to 0.5 s
    And it was sent to p1
    And all these steps succeed

    Examples:
      | request   |
      | a look-up |
      | an order  |

  Scenario Outline: A request is refused if its target accepts no connection for longer
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have <time> s, and 1 plain targets are in use
    And one plain target accepts no connection for 9 s
    And a client sends an order and waits
    Then it gets status 503 after <low> to <high> s
    When a client sends an order and waits
    Then it gets status 503 after 0 to <next> s
    And it was sent to no target
    And all these steps succeed

    Examples:
      | time | low | high | next |
      | 8    | 1.5 | 2.6  | 0.5  |
      | 2    | 0.9 | 1.3  | 1.3  |

  Scenario: A target that starts to leave while it accepts no connection gets no request
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 8 s, and 1 plain targets are in use
    And one plain target accepts no connection for 1.3 s
    And the plain target starts to leave after 0.5 s
    And a client sends an order and waits
    Then it gets status 503 after 0.5 to 1.1 s
    And it was sent to no target
    And all these steps succeed

  Scenario: A target that has died is replaced at once
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 8 s, and 2 plain targets are in use
    And one plain target dies
    And a client sends an order and waits
    Then it gets the target's answer after 0 to 0.2 s
    And it was sent to p1
    And all these steps succeed

  Scenario: A request is refused at once if all targets have died
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 8 s, and 2 plain targets are in use
    And each plain target dies
    And a client sends a look-up and waits
    Then it gets status 503 after 0 to 0.2 s
    And it was sent to no target
    And all these steps succeed

  Scenario Outline: Pauses lead to no send too many, and to no refusal of what was sent
    Given a platform with 0 domains of 0 targets, and an entry
    When requests have 2 s, and 2 plain targets are in use
    And 150 clients each send <request> while targets pause at random, seed <seed>
    Then each arrived <sends> times at most, and never if it was refused
    And at least 120 got the target's answer
    And all these steps succeed

    Examples:
      | request   | sends | seed |
      | an order  | 1     | 1    |
      | an order  | 1     | 2    |
      | a look-up | 2     | 3    |
      | a look-up | 2     | 4    |
