Feature: Requests that no honest client sends are refused

  Scenario Outline: A request whose end is in doubt never reaches the handler
    Then the raw request "<name>" is answered with <status> and the connection closes

    Examples:
      | name                          | status |
      | both lengths                  | 400    |
      | two different lengths         | 400    |
      | length that is no number      | 400    |
      | negative length               | 400    |
      | unknown transfer encoding     | 501    |
      | transfer encoding in HTTP/1.0 | 400    |
      | space before colon            | 400    |
      | bare CR in a value            | 400    |
      | no host                       | 400    |
      | damaged chunk size            | 400    |
      | endless head                  | 431    |
      | body over the limit           | 413    |

  Scenario: A folded field reaches the handler as one clean line
    Then a folded field "a\r\n b" is handled as "a b"

  Scenario: A second request in the same bytes is answered in its turn
    Then two requests in one write are answered in order

  Scenario: A slow client does not hold its connection for ever
    Then a client that sends half a request is closed after 20 seconds
    And a client that reads nothing is closed after 20 seconds

  Scenario: A request that expects 100-continue is told to go on
    Then a request that expects 100-continue gets 100 and then 200

  Scenario: An answer to HEAD has no body
    Then an answer to HEAD keeps its length and has no body
