Feature: Entries block parts of prompts together

  Scenario: Crashes seen by one entry block the part at all entries
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "g" waits at crashes of 2 groups at entry 8
    Then within 0.3 s every entry refuses part "g"
    And all these steps hold

  Scenario: Crashes seen by different entries block the part at all entries
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "g" waits at a crash of a group at entry 3
    And a request with part "g" waits at a crash of a group at entry 8
    Then within 0.3 s every entry refuses part "g"
    And all these steps hold

  Scenario: A success at any entry clears the part at all entries
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "s" waits at crashes of 2 groups at entry 8
    Then within 0.3 s every entry refuses part "s"
    When a request with part "s" succeeds at entry 4
    Then within 0.3 s every entry admits part "s"
    And all these steps hold

  Scenario: An entry that starts later refuses the part as soon as it hears from a relay
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "g" waits at crashes of 2 groups at entry 8
    And another entry starts
    Then within 0.5 s every entry refuses part "g"
    And all these steps hold

  Scenario: An entry that missed a message refuses the part within the contact time
    Given 9 entries in 3 data centres that block a part for 10 s
    When entry 5 is cut off
    And a request with part "g" waits at crashes of 2 groups at entry 8
    And entry 5 is connected again
    Then within 1.5 s every entry refuses part "g"
    And all these steps hold

  Scenario: An entry that was cut off learns what was blocked and cleared meanwhile
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "s" waits at crashes of 2 groups at entry 8
    Then within 0.3 s every entry refuses part "s"
    When entry 5 is cut off
    And a request with part "s" succeeds at entry 4
    And a request with part "g" waits at crashes of 2 groups at entry 2
    And 1.2 s go by in all entries
    And entry 5 is connected again
    Then within 0.5 s every entry refuses part "g"
    And within 0.5 s every entry admits part "s"
    And all these steps hold

  Scenario: Only one entry probes a part whose block has expired
    Given 9 entries in 3 data centres that block a part for 1 s
    When a request with part "g" waits at crashes of 2 groups at entry 8
    And 1.6 s go by in all entries
    And entry 6 sends a probe of part "g"
    Then within 0.2 s every entry refuses part "g"
    And all these steps hold

  Scenario: News of a crash is about one message for each entry, and two for relays
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "g" waits at a crash of a group at entry 8
    And 0.3 s go by in all entries
    Then at most 18 messages about parts were sent
    And all these steps hold

  Scenario: A request that its head had no time to read is not suspected
    Given 9 entries in 3 data centres that block a part for 10 s
    When a request with part "s" and a prefill of 0.2 s waits at crashes of 2 groups at entry 8
    Then within 0.1 s every entry admits part "s"
    And all these steps hold

  Scenario Outline: News with an implausible age is dropped
    Given 9 entries in 3 data centres that block a part for 10 s
    When entry 8 gets the news that part "s" waited at 2 crashes <age> s ago
    Then within 0.1 s every entry admits part "s"
    And all these steps hold

    Examples:
      | age   |
      | nan   |
      | inf   |
      | -1e9  |

  Scenario Outline: Messages grow with the entries, not with their square, when many heads are lost
    Given <count> entries in 3 data centres that block a part for 10 s
    When at each entry a request with a part of its own waits at one of 8 heads that are lost at once
    Then at most 10 messages about parts for each entry are sent within 1 s
    And all these steps hold

    Examples:
      | count |
      | 15    |
      | 30    |
