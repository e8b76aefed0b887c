Feature: Answers that are cut in their head or in a framed body

  Heads and bodies with a length, in chunks and with neither are cut after every third byte and end with a
  close, and after every twelfth byte and end with a reset.

  Scenario Outline: A head that is cut at any byte is never taken for an answer
    Given a platform with 2 domains of 6 targets, and an entry
    When targets cut each head of an answer to <request> in turn
    Then each client gets status 502 and nothing of the answer
    And all these steps succeed

    Examples:
      | request                     |
      | an order                    |
      | a look-up                   |
      | a request for 8 events      |
      | a request that may run once |

  Scenario Outline: A framed body that is cut is never taken for a whole one
    Given a platform with 2 domains of 6 targets, and an entry
    When targets cut each framed body of an answer to <request> in turn
    Then each client gets status 502 or a part that has no end
    And all these steps succeed

    Examples:
      | request                     |
      | an order                    |
      | a look-up                   |
      | a request for 8 events      |
      | a request that may run once |

  Scenario: An answer to the rest of a stream that is cut in its head does not end the stream
    Given a platform with 2 domains of 6 targets, and an entry
    When a stream breaks off after event 4, and its next head is cut in turn
    Then each client gets 4 events without an end
    And all these steps succeed
