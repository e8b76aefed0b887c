Feature: Answers with neither a length nor chunks, which end with their connection

  Such an answer is complete when its connection is closed, and broken off when it is reset. A stream
  that ends inside an event is broken off too.

  Scenario Outline: A plain answer is passed on whole, and the client's connection stays usable
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers <status line> with <fields>, <body>, and closes
    And a client sends <request>, and then looks an order up over the same connection
    Then it gets <body> with status <status> and its length
    And the next answer is "done" with status 200
    And 2 requests arrived
    And all these steps succeed

    Examples:
      | status line             | fields     | body         | request   | status |
      | HTTP/1.1 200 OK         | no fields  | a text       | an order  | 200    |
      | HTTP/1.1 200 OK         | no fields  | a text       | a look-up | 200    |
      | HTTP/1.0 200 OK         | no fields  | a text       | an order  | 200    |
      | HTTP/1.1 200 OK         | keep-alive | a text       | an order  | 200    |
      | HTTP/1.0 200 OK         | keep-alive | a text       | an order  | 200    |
      | HTTP/1.1 200 OK         | close      | a text       | an order  | 200    |
      | HTTP/1.1 200 OK         | no fields  | an empty one | an order  | 200    |
      | HTTP/1.1 200 OK         | no fields  | a long text  | an order  | 200    |
      | HTTP/1.1 404 Not Found  | no fields  | a text       | a look-up | 404    |
      | HTTP/1.1 500 Failed     | no fields  | a text       | an order  | 500    |

  Scenario Outline: An answer that never has a body is passed on, and the connection stays usable
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers <status line> with no fields, an empty one, and <end>
    And a client sends <request>, and then looks an order up over the same connection
    Then it gets an empty one with status <status>
    And the next answer is "done" with status 200
    And all these steps succeed

    Examples:
      | status line               | request        | status | end       |
      | HTTP/1.1 204 No Content   | an order       | 204    | closes    |
      | HTTP/1.0 204 No Content   | an order       | 204    | closes    |
      | HTTP/1.1 304 Not Modified | a look-up      | 304    | closes    |
      | HTTP/1.1 204 No Content   | an order       | 204    | is silent |
      | HTTP/1.1 200 OK           | a HEAD request | 200    | closes    |
      | HTTP/1.1 200 OK           | a HEAD request | 200    | is silent |

  Scenario Outline: The length of an answer without content is that of its target
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers <status line> with <fields>, an empty one, and is silent
    And a client sends <request>, and then looks an order up over the same connection
    Then it gets an answer with status <status> and length "<length>"
    And the next answer is "done" with status 200
    And all these steps succeed

    Examples:
      | status line               | fields         | request        | status | length |
      | HTTP/1.1 204 No Content   | no fields      | an order       | 204    |        |
      | HTTP/1.1 304 Not Modified | no fields      | a look-up      | 304    |        |
      | HTTP/1.1 304 Not Modified | a length of 16 | a look-up      | 304    | 16     |
      | HTTP/1.1 200 OK           | no fields      | a HEAD request | 200    |        |
      | HTTP/1.1 200 OK           | a length of 16 | a HEAD request | 200    | 16     |

  Scenario Outline: A plain answer that is not complete is not passed on
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers <status line> with no fields, <body>, and <end>
    And a client sends <request>, and then looks an order up over the same connection
    Then it gets its answer of status <status> from the entry or another target
    And <count> requests arrived
    And all these steps succeed

    Examples:
      | status line            | body         | end       | request   | status | count |
      | HTTP/1.1 200 OK        | a text       | resets    | an order  | 502    | 2     |
      | HTTP/1.0 200 OK        | a text       | resets    | an order  | 502    | 2     |
      | HTTP/1.1 200 OK        | an empty one | resets    | an order  | 502    | 2     |
      | HTTP/1.1 200 OK        | a long text  | resets    | an order  | 502    | 2     |
      | HTTP/1.1 500 Failed    | a text       | resets    | an order  | 502    | 2     |
      | HTTP/1.1 503 Full      | a text       | resets    | an order  | 502    | 2     |
      | HTTP/1.1 503 Full      | a text       | closes    | an order  | 502    | 2     |
      | HTTP/1.1 200 OK        | a text       | resets    | a look-up | 200    | 3     |
      | HTTP/1.1 404 Not Found | a text       | resets    | a look-up | 200    | 3     |
      | HTTP/1.1 500 Failed    | a text       | closes    | a look-up | 200    | 3     |
      | HTTP/1.1 200 OK        | an empty one | is silent | a look-up | 200    | 3     |
      | HTTP/1.1 200 OK        | a text       | is silent | a look-up | 200    | 3     |

  Scenario: An endless plain answer is cut off, and another target serves
    Given a platform with 2 domains of 6 targets, and an entry
    When the first target that is asked sends an unframed body without end
    And a client looks an order up
    Then it gets the body "done" with status 200
    And the flood was cut off within 2 s
    And the entry avoids the target that sent it
    And all these steps succeed

  Scenario Outline: A stream is passed on whole, and the client's connection stays usable
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers <status line> with <fields>, events 1 to 8, and closes
    And a client sends <request>, and then looks an order up over the same connection
    Then it gets events 1 to 8 and the end
    And the next answer is "done" with status 200
    And 2 requests arrived
    And all these steps succeed

    Examples:
      | status line     | fields     | request                    |
      | HTTP/1.1 200 OK | no fields  | a request for 8 events     |
      | HTTP/1.0 200 OK | no fields  | a request for 8 events     |
      | HTTP/1.1 200 OK | keep-alive | a request for 8 events     |
      | HTTP/1.1 200 OK | close      | a request for 8 events     |
      | HTTP/1.1 200 OK | no fields  | a request that may run once |
      | HTTP/1.1 200 OK | no fields  | a request for 30 events    |

  Scenario Outline: A stream that is broken off goes on at another group
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers <status line> with no fields, <events>, and <end>
    And a client sends a request for 8 events, and then looks an order up over the same connection
    Then it gets events 1 to 8 and the end
    And the second send went on after event <last>
    And the next answer is "done" with status 200
    And all these steps succeed

    Examples:
      | status line     | events                             | end       | last |
      | HTTP/1.1 200 OK | events 1 to 4                      | resets    | 4    |
      | HTTP/1.0 200 OK | events 1 to 4                      | resets    | 4    |
      | HTTP/1.1 200 OK | an empty one                       | resets    | 0    |
      | HTTP/1.1 200 OK | an empty one                       | closes    | 0    |
      | HTTP/1.0 200 OK | an empty one                       | closes    | 0    |
      | HTTP/1.1 200 OK | an empty one                       | is silent | 0    |
      | HTTP/1.1 200 OK | events 1 to 4                      | is silent | 4    |
      | HTTP/1.1 200 OK | events 1 to 4 and a field name     | closes    | 4    |
      | HTTP/1.1 200 OK | events 1 to 4 and a part of an id  | closes    | 4    |
      | HTTP/1.1 200 OK | events 1 to 4 and an id line       | closes    | 4    |
      | HTTP/1.1 200 OK | events 1 to 4 and half a data line | closes    | 4    |
      | HTTP/1.1 200 OK | events 1 to 4 and no blank line    | closes    | 4    |
      | HTTP/1.1 200 OK | events 1 to 4 and half a character | closes    | 4    |
      | HTTP/1.0 200 OK | events 1 to 4 and no blank line    | closes    | 4    |
      | HTTP/1.1 200 OK | a part of the first event          | closes    | 0    |

  Scenario Outline: A stream that may run once only and is broken off does not look complete
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, <events>, and <end>
    And a client sends a request that may run once over a connection of its own
    Then it gets <count> events without an end
    And 1 requests arrived
    And all these steps succeed

    Examples:
      | events                          | end    | count |
      | events 1 to 4                   | resets | 4     |
      | events 1 to 4 and no blank line | closes | 4     |

  Scenario Outline: A stream that may run once only and ends before its first event fails
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, <events>, and <end>
    And a client sends a request that may run once over a connection of its own
    Then it gets status 502
    And 1 requests arrived
    And all these steps succeed

    Examples:
      | events                    | end    |
      | an empty one              | resets |
      | an empty one              | closes |
      | a part of the first event | resets |
      | a part of the first event | closes |

  Scenario: A stream whose groups all break it off does not look complete
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 4 and no blank line, and closes
    And the next target answers HTTP/1.1 200 OK with no fields, event 5 and a part of an id, and closes
    And a client sends a request for 8 events over a connection of its own
    Then it gets 5 events without an end
    And all these steps succeed

  Scenario: A broken-off stream without a length may go on in one that has neither
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 4 and no blank line, and closes
    And the next target answers HTTP/1.0 200 OK with no fields, events 5 to 8, and closes
    And a client sends a request for 8 events, and then looks an order up over the same connection
    Then it gets events 1 to 8 and the end
    And the second send went on after event 4
    And the next answer is "done" with status 200
    And all these steps succeed

  Scenario: A stream that was broken off after its last event may have no more of them
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 8, and resets
    And the next target answers HTTP/1.1 200 OK with no fields, an empty one, and closes
    And a client sends a request for 8 events, and then looks an order up over the same connection
    Then it gets events 1 to 8 and the end
    And the second send went on after event 8
    And the next answer is "done" with status 200
    And all these steps succeed

  Scenario: A stream whose connection stays open after its last event ends at another group
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 8, and is silent
    And the next target answers HTTP/1.1 200 OK with no fields, an empty one, and closes
    And a client sends a request for 8 events, and then looks an order up over the same connection
    Then it gets events 1 to 8 and the end
    And the second send went on after event 8
    And the next answer is "done" with status 200
    And all these steps succeed

  Scenario Outline: The body of a failed stream is passed on only if it is complete
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 <status line> with no fields, a text, and <end>
    And a client sends a request that may run once over a connection of its own
    Then it gets status <status>
    And 1 requests arrived
    And all these steps succeed

    Examples:
      | status line   | end    | status |
      | 404 Not Found | closes | 404    |
      | 500 Failed    | closes | 500    |
      | 404 Not Found | resets | 502    |
      | 500 Failed    | resets | 502    |
