Feature: One task relays every stream over real sockets

  Scenario: Streams of odd reads come whole, none in another's place
    Then 100 relayed streams of 20 tokens with reads of odd sizes come whole

  Scenario: A client that reads slowly holds its own source back
    Then a relayed stream of 3000 tokens to a slow reader comes whole while another is not held up

  Scenario: A target that closes while its client is slow loses nothing
    Then a relayed stream of 300 tokens whose target closes reaches a slow reader whole

  Scenario: A silent target is noticed after the deadlines
    Then a relayed source that says nothing is given up as silent after 10 virtual seconds
    And a relayed source that stops after 2 tokens is given up as silent after 3 virtual seconds

  Scenario: A target that breaks off is told from one that ends
    Then a relayed source that closes after 2 tokens ends with reset and 2 tokens passed on

  Scenario: A client that is gone ends its stream
    Then a relay whose client closes ends as disconnected within 0.2 virtual seconds
    And a relay whose client reads nothing ends as disconnected after 20 virtual seconds

  Scenario: A relay that is cancelled leaves its sockets and the others alone
    Then a relay that is cancelled does not touch its sockets again while another goes on

  Scenario: Bytes of the client's next request are kept
    Then a next request that comes during a relayed stream is read after it

  Scenario: A defect in one stream does not end the others
    Then a relayed stream whose pump raises ends with that error while another comes whole
