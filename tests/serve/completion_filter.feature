Feature: Filtering a token stream

  Scenario: A read may end at any byte
    Then a stream of 6 tokens split at any byte is forwarded completely

  Scenario: Tokens that were already delivered are dropped
    Then a filter that resumes at 3 forwards tokens 3 to 5 of 6

  Scenario Outline: An invalid stream forwards its valid tokens and then fails
    Then a filter that reads 3 tokens and then <damage> forwards 3 and reports <error>

    Examples:
      | damage                     | error           |
      | a token of another request | ViolationError  |
      | a skipped token            | ViolationError  |
      | broken JSON                | TransportError  |
      | the end                    | TransportError  |

  Scenario: Chunk framing without h11 equals that of h11
    Then chunk frames of 1, 15, 16, 4095 and 70000 bytes equal those of h11
