Feature: A caller gets the whole answer to its own request

  Scenario: A caller that goes away has its stream cancelled within a second
    Then a caller that leaves after 3 tokens has its stream cancelled within 1.0 seconds

  Scenario: A caller that goes away before the first token is noticed too
    Then a caller that leaves after 0 tokens has its stream cancelled within 1.0 seconds

  Scenario: A planned stop cuts off no stream and takes no new request
    Then an entry that is stopped ends its stream whole and refuses a new request as leaving

  Scenario: A request on an idle connection of a stopping entry gets a refusal
    Then a request 1.0 seconds after a stop, on a connection opened before, is refused as leaving

  Scenario: An answer to another request never reaches the caller
    Given engines that put another request's id into their chunks
    Then a completion ends with wrong_answer and the entry serves on

  Scenario: Answers carry finish reason and usage, streamed or not
    Then a chat answer has finish reason "length" and 8 completion tokens

  Scenario: A resume token fits only its own request
    Then a resume token is refused for another account's request, another body and when altered

  Scenario: Unknown fields pass through to the engine
    Then a body with temperature 0.5 is sent to engines with temperature 0.5
