Feature: A request that can't be served as usual still gets an answer

  Scenario Outline: A response that can't be sent is not taken for a client that has left
    Then after a <method> response with <fault> the handler can answer with status 502, and the connection <end>

    Examples:
      | method | fault                 | end        |
      | GET    | a line end in a field | stays open |
      | GET    | too short a length    | closes     |
      | HEAD   | a line end in a field | stays open |
      | HEAD   | too short a length    | closes     |

  Scenario Outline: An unexpected exception of a handler does not end a request without an answer
    Then a handler that raises <error> before its answer is answered for with status 502 and code 9001
    And a handler that raises <error> after its answer has begun adds nothing to it

    Examples:
      | error          |
      | ValueError     |
      | TransportError |
      | EncodingError  |
      | LocalProtocolError |

  Scenario Outline: An answer that is cancelled before its first byte can be replaced by another
    Then a handler whose <answer> is cancelled at its first byte can answer with status 504

    Examples:
      | answer      |
      | response    |
      | stream      |
      | first chunk |

  Scenario Outline: A request that doesn't arrive in time is refused as not run
    Then a client that stops after <part> gets status 408 as not run after <seconds> s

    Examples:
      | part             | seconds |
      | one byte         | 20      |
      | half a head      | 20      |
      | half a body      | 20      |
      | half a chunk     | 20      |
      | a second head    | 20      |

  Scenario: A request that begins at the end of the idle time is read and answered
    Then a head whose parts arrive 0.1 s before and 0.1 s after the idle time is answered

  Scenario: A client that sends its request byte by byte can't keep a connection for longer
    Then a client that sends a byte of its head each second is refused after 20 s

  Scenario: A connection without a request is closed after the idle time, without an answer
    Then a client that sends nothing gets no byte and is closed after 60 s
