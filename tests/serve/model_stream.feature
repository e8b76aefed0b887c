Feature: Streaming completions to callers

  Scenario: The stream of a caller that disconnects is cancelled within a second
    Then a caller that disconnects after 3 tokens has its stream cancelled within 1.0 seconds

  Scenario: A disconnect before the first token cancels the stream as well
    Then a caller that disconnects after 0 tokens has its stream cancelled within 1.0 seconds

  Scenario: A planned stop completes running streams and rejects new requests
    Then a stopped entry completes its stream and rejects a new request with leaving

  Scenario: A stopping entry rejects a request on an idle connection
    Then a request 1.0 seconds after a stop on an earlier connection is rejected with leaving

  Scenario: Chunks of another request are not delivered to the caller
    Given engines that send chunks with the id of another request
    Then a completion fails with wrong_answer and the entry keeps serving

  Scenario: A completion has a finish reason and token usage
    Then a chat completion has finish reason "length" and 8 completion tokens

  Scenario: A resume token is valid for its own request only
    Then a resume token is rejected for another account, another body, and when modified

  Scenario: Unknown fields are forwarded to the engine
    Then a body with temperature 0.5 is forwarded with temperature 0.5
