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

  Scenario: Only loads travel at the full rate
    Given 26 entries of data centre "a", two of them with wide links
    Then an entry that sent its last heartbeats 0.15 s ago owes one to the first relay only
    And the second relay owes its subscribers none, and the first one owes them one
    And after 0.3 s each owes one to everybody
    And entries of another data centre are owed one at any time

  Scenario Outline: One relay of all data centres watches the store
    Given data centres "a" to "e" whose first relays have store ages <ages>
    Then the relays of <watching> watch the store

    Examples:
      | ages                | watching  |
      | 0.2 0.2 0.2 0.2 0.2 | a         |
      | 0.2 9 9 9 9         | a         |
      | 9 0.2 9 9 9         | a b       |
      | 9 9 9 0.2 9         | a b c d   |
      | 9 9 9 9 9           | a b c d e |
      | - 0.2 9 9 9         | b         |

  Scenario: An entry is removed when its relay has not heard from it for long
    Given a first relay that has heard from one entry of its data centre and not from another
    Then 29 s later it removes none
    And 31 s later it removes the silent one
    And an entry that became the first relay 5 s ago removes none
    And an entry of another data centre is not removed

  # Guards against entries that are known to nobody but whom they have written to themselves.
  Scenario: An entry knows all others when the store lists them in pages
    Given a platform with 0 domains of 0 targets, and an entry
    When 10 other entries are listed, 3 in a page
    Then the entry knows 10 others within 3 s
    And all these steps succeed

  Scenario: A page that can't be read keeps what is known
    Given a platform with 0 domains of 0 targets, and an entry
    When 10 other entries are listed, 3 in a page
    And the pages after the second one can't be read
    Then the entry knows 6 others within 3 s
    When all pages can be read again
    Then the entry knows 10 others within 6 s
    And the entry is listed
    And all these steps succeed

  Scenario Outline: An entry is forgotten when it was missing in several listings
    Given an entry that was last listed at 0 s
    Then at <at> s, with a listing each <interval> s, it is <outcome>

    Examples:
      | at   | interval | outcome   |
      | 59   | 4        | known     |
      | 61   | 4        | forgotten |
      | 1000 | 375      | known     |
      | 1126 | 375      | forgotten |
