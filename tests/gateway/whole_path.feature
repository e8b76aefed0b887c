Feature: The whole path on the platform's wire, over loopback

  Scenario: A stream is answered whole, for the account that holds the key
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And the target was told account "acme" and no key
    And all of that is seen

  Scenario: The metrics page is understood by Prometheus' own client
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 8 events
    And a client places an order
    Then the metrics page shows 2 requests, a first event under 1 s and 2 groups
    And all of that is seen

  Scenario: A member dies in the middle of a stream
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 60 events
    And a member of its group dies after 10 events
    Then it gets events 1 to 60 and the end
    And both domains serve again within 5 s
    And all of that is seen

  Scenario: A head breaks off within an event
    Given a platform with 2 domains of 6 targets, and an entry
    When heads break off within event 4 once
    And a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And all of that is seen

  Scenario: A client leaves while its target is silent
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 500 events and leaves after 3
    Then its target notices within 0.5 s
    And all of that is seen

  Scenario: A call that may not be repeated and gets no answer is sent once
    Given a platform with 2 domains of 6 targets, and an entry
    When plain targets close the connection after reading a request
    And a client places an order
    Then it is told 502
    And the order arrived once
    And all of that is seen

  Scenario: A call that may be repeated is sent again
    Given a platform with 2 domains of 6 targets, and an entry
    When plain targets close the connection after reading a request once
    And a client looks an order up
    Then it is told 200
    And all of that is seen

  Scenario: A refused order is told as not run
    Given a platform with 2 domains of 6 targets, and an entry
    When plain targets refuse
    And a client places an order
    Then it is told 503
    And all of that is seen

  Scenario: A key that is removed stops working, and a new route works
    Given a platform with 2 domains of 6 targets, and an entry
    When the configuration removes the key and adds a public route
    Then within 1 s a client that places an order is told 401
    And within 1 s a client on the public route is told 200
    And all of that is seen

  Scenario: The store is away for longer than keys may be used
    Given a platform with 2 domains of 6 targets, and an entry
    When the store is away for 4 s
    Then a client that places an order is told 503 with a time to come back
    And when the store is back within 1 s a client that places an order is told 200
    And all of that is seen

  Scenario: A leaving target gets no further requests
    Given a platform with 2 domains of 6 targets, and an entry
    When a plain target is leaving
    Then 20 orders all go to the other one
    And all of that is seen
