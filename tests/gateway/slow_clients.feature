Feature: Clients that read their answers late

  Scenario Outline: A client whose answer is cut at its deadline does not wait for the rest
    Given a platform with 1 domains of 5 targets, and an entry
    When a client asks for a long answer to <request>, and reads it only after its deadline
    Then the answer is whole, or its connection is closed
    And all these steps succeed

    Examples:
      | request   |
      | an order  |
      | a look-up |
