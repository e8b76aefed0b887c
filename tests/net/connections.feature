Feature: Closing the connections of a server loses no request whose first byte it has read

  Scenario Outline: A request that is being read is counted, and refused as not run at the end
    Then a client that has sent <part> when the connections are closed gets status 503 as not run

    Examples:
      | part          |
      | one byte      |
      | half a head   |
      | half a body   |
      | a second head |

  Scenario Outline: A request that arrives whole before its connection is closed is answered
    Then a client whose request arrives <when> the connections are closed gets status 200

    Examples:
      | when                     |
      | at the moment when       |
      | in two parts around when |

  Scenario: Idle connections are closed at once, and are not counted as being read
    Then a client that is idle when the connections are closed gets the end without a byte
