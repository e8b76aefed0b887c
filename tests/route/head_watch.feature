Feature: Notice that a group stands still

  Scenario: A head that sends an event in every pass is fine
    Given a head with 3 streams that send an event every 50 ms
    When 2 s pass with events
    Then the head is never to be checked

  Scenario: A head that falls silent is checked within 200 ms
    Given a head with 3 streams that send an event every 50 ms
    When 1 s passes with events
    And its streams fall silent
    Then its members are to be checked within 0.2 s
    And it counts as still after 0.8 s whatever they answer

  Scenario: A long prompt makes one pass longer
    Given a head with 3 streams that send an event every 50 ms
    When 1 s passes with events
    And a request with a prompt is sent
    And its streams fall silent
    Then its members are not to be checked within 0.2 s

  Scenario: A request alone at a head waits for its turn before the members are checked
    Given a head with 0 streams that send an event every 50 ms
    When a request with a prompt is sent
    Then its members are not to be checked within 0.25 s
    And its members are to be checked within 0.5 s
