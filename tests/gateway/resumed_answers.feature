Feature: Answers to a stream that has begun and broke off

  Only events that follow the last one may reach the client. The stream is complete only if the answer
  to its last send says so: one with neither a length nor chunks that holds no event does not.

  Scenario Outline: An answer that is not the rest of a stream neither reaches the client nor ends the stream
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 4, and resets
    And the next target answers <status line> with <fields>, <body>, and closes
    And a client sends a request for 8 events over a connection of its own
    Then it gets 4 events without an end
    And 2 requests arrived
    And all these steps succeed

    Examples: an empty answer
      | status line     | fields      | body         |
      | HTTP/1.1 200 OK | no fields   | an empty one |
      | HTTP/1.0 200 OK | no fields   | an empty one |
      | HTTP/1.1 200 OK | keep-alive  | an empty one |
      | HTTP/1.1 200 OK | a JSON type | an empty one |

    Examples: an answer that is not a stream of events
      | status line     | fields                 | body                   |
      | HTTP/1.1 200 OK | no fields              | a text                 |
      | HTTP/1.1 200 OK | a JSON type            | a text                 |
      | HTTP/1.1 200 OK | a JSON type            | a paragraph            |
      | HTTP/1.1 200 OK | a JSON type and length | a text                 |
      | HTTP/1.1 200 OK | a JSON type in chunks  | a text in a chunk      |
      | HTTP/1.1 200 OK | a JSON type in chunks  | a paragraph in a chunk |

    Examples: events that do not follow
      | status line     | fields    | body                     |
      | HTTP/1.1 200 OK | no fields | events 1 to 8            |
      | HTTP/1.1 200 OK | chunks    | events 1 to 8 in a chunk |
      | HTTP/1.1 200 OK | chunks    | events 6 to 8 in a chunk |

    Examples: other statuses
      | status line                 | fields         | body                     |
      | HTTP/1.1 204 No Content     | no fields      | an empty one             |
      | HTTP/1.1 206 Partial        | chunks         | events 5 to 8 in a chunk |
      | HTTP/1.1 206 Partial        | no fields      | an empty one             |
      | HTTP/1.1 400 Bad            | a length of 16 | a text                   |
      | HTTP/1.1 404 Not Found      | no fields      | a text                   |
      | HTTP/1.1 409 Conflict       | chunks         | an empty chunk           |
      | HTTP/1.1 429 Full           | a length of 0  | an empty one             |
      | HTTP/1.1 500 Failed         | chunks         | a text in a chunk        |
      | HTTP/1.1 502 Bad Gateway    | no fields      | an empty one             |
      | HTTP/1.1 503 Full           | a length of 16 | a text                   |

  Scenario Outline: An empty answer that says itself that it is complete ends the stream
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 4, and resets
    And the next target answers HTTP/1.1 200 OK with <fields>, <body>, and is silent
    And a client sends a request for 8 events, and then looks an order up over the same connection
    Then it gets events 1 to 4 and the end
    And the next answer is "done" with status 200
    And all these steps succeed

    Examples:
      | fields        | body           |
      | a length of 0 | an empty one   |
      | chunks        | an empty chunk |

  Scenario: A target that refuses the rest of a stream is passed over
    Given a platform with 3 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, events 1 to 4, and resets
    And the next target answers HTTP/1.1 421 Misdirected with a length of 16, a text, and closes
    And a client sends a request for 8 events, and then looks an order up over the same connection
    Then it gets events 1 to 8 and the end
    And 4 requests arrived
    And all these steps succeed

  Scenario: An empty answer to a client that resumes its stream is broken off, and another group goes on
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, an empty one, and closes
    And a client that has 4 of 8 events asks for the rest at "/model/x"
    Then it gets events 5 to 8 as the rest
    And 2 requests arrived
    And all these steps succeed

  Scenario: An empty answer to a client that resumes its stream is not passed on as a success
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with no fields, an empty one, and closes
    And a client that has 4 of 8 events asks for the rest at "/once/x"
    Then it gets status 502
    And 1 requests arrived
    And all these steps succeed
