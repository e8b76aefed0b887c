Feature: Idempotent requests over pooled connections

  Scenario: Consecutive requests share a connection
    Then 5 requests over pooled connections open 1 connection

  Scenario Outline: A request over a broken pooled connection is repeated over a new one
    Then a request over a pooled connection that <fault> succeeds over a new one within <seconds> s

    Examples:
      | fault            | seconds |
      | was reset        | 0.1     |
      | has gone silent  | 0.6     |

  Scenario: A request fails in time when a pooled connection uses up its timeout
    Then a request that may spend its whole timeout on a silent connection fails in time

  # Guards against one watch after the other that waits on a silent connection (DRAIN, review/other).
  Scenario: A silent connection takes the other idle ones of its address with it
    Then with 3 silent pooled connections one request that may spend its whole timeout fails, and the next is answered within 0.1 s

  Scenario: A request to a frozen target fails when its timeout has passed
    Then a request over a pooled connection to a frozen target fails with silent after 1 s

  Scenario Outline: A request that is no longer allowed is not sent
    Then a request that is not allowed any more is not sent over a <connection> connection

    Examples:
      | connection |
      | new        |
      | pooled     |

  Scenario Outline: A connection that ended with its answer is closed, and no request is sent over it
    Then 3 requests that are answered over HTTP/<version> by <answer> are sent once each and leave no connection

    Examples:
      | version | answer                         |
      | 1.1     | a body without a length        |
      | 1.0     | a body without a length        |
      | 1.1     | an empty body without a length |
      | 1.1     | a length and closes            |

  Scenario: A second answer is not taken as the answer to the next request
    Then 3 requests that are answered over HTTP/1.1 by a length and a second answer are sent once each and leave no connection

  Scenario: A second answer that arrives late is not taken as the answer to the next request
    Then 3 requests over TCP whose answers are followed by another after 20 ms get their own answers

  Scenario: An answer without a length whose connection is reset is not complete
    Then a request that is answered by half of a body without a length and a reset fails
