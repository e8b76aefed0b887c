Feature: Relays between entries

  Scenario: All entries of a data centre choose the same relays
    Given 26 entries of data centre "a", two of them with wide links
    Then every entry chooses the two with wide links

  Scenario: A relay that does not answer is no longer chosen after a second
    Given 26 entries of data centre "a", two of them with wide links
    When the first relay was sent a message at 10 s and did not answer
    Then at 10.5 s it is still chosen
    And at 11 s it is not chosen

  Scenario: An entry that is stopping is not chosen as a relay
    Given 26 entries of data centre "a", two of them with wide links
    When the first relay announces that it is stopping
    Then at 10 s it is not chosen

  Scenario: Loads of all data centres are added up
    Given relays of data centres "a" and "b" with 3 and 4 requests at one head
    Then the head's load is 7 requests

  Scenario: Malformed messages are rejected
    Then malformed bytes are not decoded as a message
