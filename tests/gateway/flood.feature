Feature: Servers in trouble that send bytes without end

  A server may send bytes that are no answer, or go on after one, until its connection is closed.
  Memory and processor time of the entry stay bounded, and another target serves the client.

  Scenario Outline: A flood instead of an answer is cut off, and another target serves
    Given a platform with 2 domains of 6 targets, and an entry
    When the first target that is asked sends <flood> without end
    And a client looks an order up
    Then it gets the body "done" with status 200
    And the flood was cut off within 1 s
    When the first target that is asked sends <flood> without end
    And a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And the flood was cut off within 2 s
    And the entry avoids the target that sent it
    And all these steps succeed

    Examples:
      | flood                       |
      | a header line               |
      | header lines                |
      | no line end                 |
      | garbage lines               |
      | informational responses     |
      | a chunk size                |
      | a chunk extension           |
      | trailers                    |

  Scenario: A stream whose event never ends goes on at another target
    Given a platform with 2 domains of 6 targets, and an entry
    When the first target that is asked sends an event without end
    And a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And the flood was cut off within 2 s
    And the entry avoids the target that sent it
    And all these steps succeed

  Scenario: Bytes beyond a complete answer do not reach the client
    Given a platform with 2 domains of 6 targets, and an entry
    When the first target that is asked sends bytes after its answer without end
    And a client looks an order up
    Then it gets the body "done" with status 200
    And the flood was cut off within 1 s
    And all these steps succeed

  Scenario Outline: A slow flood is given up in time for another target
    Given a platform with 2 domains of 6 targets, and an entry
    When the first target that is asked sends <flood> without end, a piece each 100 ms
    And a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And the flood was cut off within 2 s
    When the first target that is asked sends <flood> without end, a piece each 100 ms
    And a client looks an order up
    Then it gets the body "done" with status 200
    And the flood was cut off within 4 s
    And all these steps succeed

    Examples:
      | flood                   |
      | a header line           |
      | informational responses |
      | a chunk extension       |

  Scenario: What an endless answer takes in memory is bounded
    Then an endless answer of any of these kinds is read up to 200000 bytes
    And an endless event is buffered up to 330000 bytes
