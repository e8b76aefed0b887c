Feature: Relaying all socket streams in one task

  Scenario: Concurrent streams arrive completely and are not mixed up
    Then 100 relayed streams of 20 tokens in parts of odd size arrive completely

  Scenario: A slow client delays only its own stream
    Then a relayed stream of 3000 tokens reaches a slow reader completely and delays no other

  Scenario: No token is lost when a target closes before its slow client has read all
    Then a relayed stream of 300 tokens whose target closes reaches a slow reader completely

  Scenario: A target that stops sending times out
    Then a relayed source that sends nothing fails with silent after 10 virtual seconds
    And a relayed source that stops after 2 tokens fails with silent after 3 virtual seconds

  Scenario: A stream that ends early is reported as reset
    Then a relayed source that closes after 2 tokens fails with reset after relaying 2 tokens

  Scenario: A client that closes or stops reading ends its stream
    Then a relay whose client closes ends as disconnected within 0.2 virtual seconds
    And a relay whose client reads nothing ends as disconnected after 20 virtual seconds

  Scenario: A cancelled relay does not affect its sockets or other streams
    Then a cancelled relay leaves its sockets alone while another continues

  Scenario: Bytes of a pipelined request are kept
    Then a request that arrives during a relayed stream is read after it

  Scenario: An exception in one stream does not end the others
    Then a relayed stream whose filter raises ends with that error while another completes
