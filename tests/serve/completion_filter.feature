Feature: A stream is passed on without repeats or holes

  Scenario: Reads may end at any byte
    Then a stream of 6 tokens split at each byte is passed on whole

  Scenario: Tokens that were delivered before are dropped
    Then a pump that resumes at 3 passes on tokens 3 to 5 of 6

  Scenario Outline: A damaged stream passes on what came before and then ends
    Then a pump that reads 3 tokens and then <damage> passes on 3 and reports <error>

    Examples:
      | damage            | error           |
      | a foreign token   | ViolationError  |
      | a hole            | ViolationError  |
      | broken JSON       | TransportError  |
      | the end           | TransportError  |

  Scenario: The hand-made chunk frame is h11's
    Then chunk frames of 1, 15, 16, 4095 and 70000 bytes are those of h11
