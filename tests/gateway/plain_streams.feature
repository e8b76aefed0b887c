Feature: Streams of services without replica groups

  They keep the promises that streams of models keep: the events are passed on in order as they arrive,
  none twice, and after a break the next target goes on where the client's events end.

  # Guards against a resumed stream that begins again with event 1 (ORDER, review/4).
  Scenario Outline: A client that resumes its stream gets only the events that it lacks
    Given a platform with 2 domains of 6 targets, and an entry
    When a client that has <last> of 8 events asks for the rest at "/feed/x"
    Then it gets events <first> to 8 as the rest
    And the target was asked to go on after event "<last>"
    And all these steps succeed

    Examples:
      | last | first |
      | 1    | 2     |
      | 4    | 5     |
      | 7    | 8     |

  # Guards against events that are kept back until the stream is complete.
  Scenario: The events are passed on as they arrive
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for 40 events of a feed and notes when each one comes
    Then the first event came 0.4 s before the last one or earlier
    And all these steps succeed

  # Guards against a second run that is joined to the first one's events (ORDER).
  Scenario Outline: A stream that breaks goes on at the other target after the client's last event
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with <fields>, <body>, and <end>
    And a client sends a request for 8 events of a feed over a connection of its own
    Then it gets events 1 to 8 and the end
    And the second send went on after event <last>
    And all these steps succeed

    Examples:
      | fields    | body                              | end    | last |
      | no fields | an empty one                      | resets | 0    |
      | no fields | events 1 to 4                     | resets | 4    |
      | chunks    | events 6 to 8 in a chunk          | closes | 0    |
      | no fields | events 1 to 4 and a part of an id | closes | 4    |
      | no fields | an empty one                      | closes | 0    |

  Scenario: A stream that breaks at every target is not ended as complete
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 4, and resets
    And the next target answers HTTP/1.1 404 Not Found with a length of 16, a text, and closes
    And a client sends a request for 8 events of a feed over a connection of its own
    Then it gets 4 events without an end
    And 2 requests arrived
    And all these steps succeed

  # Guards against half an answer that is passed on as a whole one (MIXED, review/2).
  Scenario Outline: An answer that ends with its connection is incomplete when its target has crashed
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, <body>, and <end>
    And a client sends <request> over a connection of its own
    Then <outcome>
    And all these steps succeed

    Examples:
      | body          | end                 | request                          | outcome                                |
      | a text        | crashes             | a look-up                        | it gets the body "done" with status 200 |
      | a text        | crashes             | an order                         | it gets a failure of status 502        |
      | events 1 to 4 | crashes             | a request for 8 events of a feed | it gets events 1 to 8 and the end      |
      | a text        | ends a moment later | a look-up                        | it gets the body "done" with status 200 |
      | a text        | ends a moment later | an order                         | it gets a failure of status 502        |
      | events 1 to 4 | ends a moment later | a request for 8 events of a feed | it gets events 1 to 8 and the end      |
      | events 1 to 4 | ends a moment later | a request for 8 events           | it gets events 1 to 8 and the end      |

  Scenario: An answer that is no stream is passed on whole
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with a JSON type and length, a text, and closes
    And a client sends a request for 8 events of a feed over a connection of its own
    Then it gets a text with status 200 and its length
    And all these steps succeed
