Feature: A request that can't be served as usual still gets an answer

  Scenario Outline: A response that can't be sent is not taken for a client that has left
    Then after a <method> response with <fault> the handler can answer with status 502, and the connection <end>

    Examples:
      | method | fault                 | end        |
      | GET    | a line end in a field | stays open |
      | GET    | too short a length    | closes     |
      | HEAD   | a line end in a field | stays open |
      | HEAD   | too short a length    | closes     |
