Feature: HTTP server with malformed requests and slow clients

  Scenario Outline: A malformed, ambiguous or oversized request does not reach the handler
    Then the raw request "<name>" is answered with <status> and the connection closes

    Examples:
      | name                          | status |
      | both lengths                  | 400    |
      | HEAD with both lengths        | 400    |
      | HEAD with a late body         | 408    |
      | two different lengths         | 400    |
      | non-numeric length            | 400    |
      | negative length               | 400    |
      | unknown transfer encoding     | 501    |
      | transfer encoding in HTTP/1.0 | 400    |
      | space before the colon        | 400    |
      | bare CR in a field value      | 400    |
      | no Host field                 | 400    |
      | invalid chunk size            | 400    |
      | oversized head                | 431    |
      | body over the limit           | 413    |

  Scenario: A folded field value is passed to the handler on one line
    Then a folded field "a\r\n b" is handled as "a b"

  Scenario: Pipelined requests are answered in order
    Then two requests in one write are answered in order

  Scenario: The connection of a stalled client is closed
    Then the connection of a client that sends half a request is closed after 20 seconds
    And the connection of a client that reads nothing is closed after 20 seconds

  Scenario: A request that expects 100-continue gets an interim response
    Then a request that expects 100-continue gets 100 and then 200

  Scenario: A response to HEAD has no body
    Then a response to HEAD has a content length and no body

  Scenario Outline: A response without content has the length that its handler states
    Then a response of status <status> to <method> with length "<stated>" has length "<sent>" and no body

    Examples:
      | status | method | stated | sent |
      | 204    | GET    |        |      |
      | 204    | GET    | 0      |      |
      | 304    | GET    |        |      |
      | 304    | GET    | 16     | 16   |
      | 200    | HEAD   |        |      |
      | 200    | HEAD   | 16     | 16   |
      | 200    | GET    |        | 0    |
