Feature: No whole request ends with a closed connection and no answer

  Scenario Outline: A request that can't be passed on is answered and logged
    Given a platform with 2 domains of 6 targets, and an entry
    When a client sends <request> whose Connection field names Host
    Then it gets status 502
    And the log has its end as INTERNAL with outcome unknown
    And all these steps succeed

    Examples:
      | request                     |
      | an order                    |
      | a look-up                   |
      | a request for 8 events      |
      | a request that may run once |

  Scenario Outline: An answer of a target that can't be passed on is replaced by an error
    Given a platform with 2 domains of 6 targets, and an entry
    When answers of targets get a field that can't be sent
    And a client sends <request> over a connection of its own
    Then it gets status 502
    And the log has its end as INTERNAL with outcome unknown
    And 1 requests arrived
    And all these steps succeed

    Examples:
      | request                     |
      | an order                    |
      | a look-up                   |
      | a HEAD request              |
      | a request for 8 events      |
      | a request that may run once |

  Scenario Outline: An unexpected exception does not end a request without an answer
    Given a platform with 2 domains of 6 targets, and an entry
    When the configuration names the client's account in Greek
    And a client sends <request> over a connection of its own
    Then it gets status 502
    And the log has its end as INTERNAL with outcome unknown
    And the log has a line on the defect
    And all these steps succeed

    Examples:
      | request                     |
      | an order                    |
      | a look-up                   |
      | a request for 8 events      |
      | a request that may run once |

  Scenario: A failure of the target's side outside of a send is not taken for the client's
    Given a platform with 2 domains of 6 targets, and an entry
    When the choice of a target fails with a reset
    And a client sends an order over a connection of its own
    Then it gets status 502
    And the log has its end as TARGET_LOST with outcome unknown
    And all these steps succeed

  Scenario Outline: A client that leaves stops the work at once, and the log says how it left
    Given a platform with 2 domains of 6 targets, and an entry
    When a client that has got 3 events of 60 <leaves>
    Then its target notices within 0.5 s
    And the log has its end as CALLER_GONE, because <reason>
    And all these steps succeed

    Examples:
      | leaves                   | reason                         |
      | closes its connection    | the client ended its input     |
      | ends its sending side    | the client ended its input     |
      | resets its connection    | the client's connection failed |
