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

  # Guards against answers without end that fill the memory together (issue 33).
  Scenario Outline: Many answers without end take no more memory than their share
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry may use 3000000 bytes for answers
    And every plain target sends <flood> to 12 clients that <request>
    Then the answers have taken 3000000 bytes at most
    And none of the clients got an answer that looks complete
    When a client looks an order up at a sound target
    Then it gets the body "done" with status 200
    And all these steps succeed

    Examples:
      | flood                  | request          |
      | an unframed body       | look an order up |
      | an unframed body       | place an order   |
      | a body in chunks       | look an order up |
      | a body in chunks       | place an order   |
      | a body of 15 MB        | place an order   |
      | a stated length of 10 GB | look an order up |
      | a stated length of 10 GB | place an order   |

  Scenario: An answer larger than its share of the memory is passed on as it is read
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry may use 1000000 bytes for answers
    And the next target answers HTTP/1.1 200 OK with no fields, a long text, and closes
    And a client sends an order over a connection of its own
    Then it gets the whole long text
    And the answers have taken 1000000 bytes at most
    And all these steps succeed

  Scenario: An endless answer to a request that may be sent again is not passed on
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry may use 1000000 bytes for answers
    And the next target answers HTTP/1.1 200 OK with no fields, a long text, and closes
    And a client sends a look-up over a connection of its own
    Then it gets the body "done" with status 200
    And all these steps succeed

  Scenario: Bodies of requests that fill the memory together are refused
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry may use 3000000 bytes for requests
    And 8 clients send orders with 1000000 bytes each, slowly
    Then some of them are refused with status 503 and a retry-after time, and the others are answered
    And the requests have taken 3000000 bytes at most
    And all these steps succeed
