Feature: Requests through an entry on the platform's wire, over loopback

  Scenario: A stream is served completely, for the account of its key
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And the target received account "acme" and no key
    And all these steps succeed

  Scenario: The metrics page is parsed by the Prometheus client library
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 8 events
    And a client places an order
    Then the metrics page shows 2 requests, a first event under 1 s and 2 groups
    And all these steps succeed

  Scenario: A member dies in the middle of a stream
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 60 events
    And a member of its group dies after 10 events
    Then it gets events 1 to 60 and the end
    And both domains serve again within 5 s
    And all these steps succeed

  Scenario: A head closes the connection in the middle of an event
    Given a platform with 2 domains of 6 targets, and an entry
    When a head closes the connection in the middle of event 4 once
    And a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And all these steps succeed

  Scenario: A client disconnects in the middle of a stream
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 500 events and leaves after 3
    Then its target notices within 0.5 s
    And all these steps succeed

  Scenario: An unanswered request that may not be repeated is sent once
    Given a platform with 2 domains of 6 targets, and an entry
    When plain targets close the connection after reading a request
    And a client places an order
    Then it gets status 502
    And the order arrived once
    And all these steps succeed

  Scenario: An unanswered request that may be repeated is sent again
    Given a platform with 2 domains of 6 targets, and an entry
    When plain targets close the connection after reading a request once
    And a client looks an order up
    Then it gets status 200
    And all these steps succeed

  Scenario: A refused order is reported as not run
    Given a platform with 2 domains of 6 targets, and an entry
    When plain targets refuse
    And a client places an order
    Then it gets status 503
    And all these steps succeed

  Scenario: A key that is removed stops working, and a new route works
    Given a platform with 2 domains of 6 targets, and an entry
    When the configuration removes the key and adds a public route
    Then within 1 s a client that places an order gets status 401
    And within 1 s a client on the public route gets status 200
    And all these steps succeed

  Scenario: The store is unavailable for longer than keys may be accepted
    Given a platform with 2 domains of 6 targets, and an entry
    When the store is unavailable for 4 s
    Then a client that places an order gets status 503 and a retry-after time
    And within 1 s after the store is back a client that places an order gets status 200
    And all these steps succeed

  Scenario: A leaving target gets no further requests
    Given a platform with 2 domains of 6 targets, and an entry
    When a plain target is leaving
    Then 20 orders all go to the other plain target
    And all these steps succeed

  Scenario: A relay that is dropped is not chosen any more
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry chooses a relay with a wide link and drops it
    Then it does not choose that relay again
    And all these steps succeed

  Scenario: Streams that begin at the same moment are spread evenly over the heads
    Given a platform with 2 domains of 6 targets, and an entry
    When 24 clients ask for streams of 8 events that may be resumed
    Then each gets events 1 to 8 and the end
    And 2 heads have got 12 requests each
    And all these steps succeed
