Feature: Entries that pass knowledge on

  Scenario: All entries of a data centre choose the same relays
    Given 26 entries of data centre "a", two of them with wide links
    Then every entry chooses the two with wide links

  Scenario: A relay that does not answer is replaced within a second
    Given 26 entries of data centre "a", two of them with wide links
    When the first relay was asked at 10 s and not heard
    Then at 10.5 s it is still chosen
    And at 11 s it is not chosen

  Scenario: An entry that stops is no relay
    Given 26 entries of data centre "a", two of them with wide links
    When the first relay says that it stops
    Then at 10 s it is not chosen

  Scenario: Loads of all data centres add up
    Given relays of data centres "a" and "b" with 3 and 4 requests at one head
    Then 7 requests are at the head

  Scenario: Bytes that are no message are none
    Then damaged bytes are not taken for a message
