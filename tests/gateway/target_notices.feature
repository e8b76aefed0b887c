Feature: Targets that say in their answers that they leave, or ask to be left alone

  # Guards against requests to a target that has said that it leaves (DRAIN).
  Scenario Outline: A target that says that it leaves gets no new request
    Given a platform with 2 domains of 6 targets, and an entry
    When <event>
    And plain target "p0" says in its answers that it leaves, and has answered once
    Then 10 <requests> all go to plain target "p1"
    And all these steps succeed

    Examples:
      | event                        | requests |
      | nothing else happens         | orders   |
      | nothing else happens         | look-ups |
      | nothing else happens         | feeds    |
      | the store can't be reached   | orders   |

  Scenario: A refusal counts as an answer
    Given a platform with 2 domains of 6 targets, and an entry
    When plain target "p0" refuses, says that it leaves, and has answered once
    Then 10 look-ups all go to plain target "p1"
    And all these steps succeed

  Scenario: A record that says it is ready changes nothing
    Given a platform with 2 domains of 6 targets, and an entry
    When plain target "p0" says in its answers that it leaves, and has answered once
    And the record of "p0" changes and says that it is ready
    Then 10 orders all go to plain target "p1"
    And all these steps succeed

  Scenario: A new incarnation is sent requests again
    Given a platform with 2 domains of 6 targets, and an entry
    When plain target "p0" says in its answers that it leaves, and has answered once
    And "p0" starts again under its id
    Then "p0" gets one of the next 20 orders
    And all these steps succeed

  Scenario: Another entry says that a target leaves
    Given a platform with 2 domains of 6 targets, and an entry
    When another entry reports that "p0" leaves
    Then 10 orders all go to plain target "p1"
    And all these steps succeed

  Scenario: A stream at a head that says it leaves goes on, and the next one goes elsewhere
    Given a platform with 2 domains of 6 targets, and an entry
    When the head that gets the next stream says that it leaves
    And a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    When a client asks for a stream of 8 events
    Then it gets events 1 to 8 and the end
    And the second stream went to another head than the first
    And all these steps succeed

  Scenario: All targets of a service leave
    Given a platform with 2 domains of 6 targets, and an entry
    When both plain targets say that they leave, and have answered
    And a client sends an order
    Then it is refused with status 503 as not run
    And no plain target got it
    And all these steps succeed

  # Guards against requests to a target that asked to be left alone (BUDGET).
  Scenario Outline: A target that asks to be left alone gets nothing for so long
    Given a platform with 2 domains of 6 targets, and an entry
    When plain target "p0" asks to be left alone for <seconds> s, and has refused once
    Then for <while> s all <requests> go to plain target "p1"
    And "p0" gets one of the next 20 orders
    And the entry does not suspect "p0"
    And all these steps succeed

    Examples:
      | seconds | while | requests |
      | 1       | 0.8   | orders   |
      | 1.5     | 1.3   | look-ups |

  Scenario: All targets ask to be left alone for longer than a request can wait
    Given a platform with 2 domains of 6 targets, and an entry
    When both plain targets ask to be left alone for 20 s, and have refused
    And a client sends an order
    Then it is refused with status 503 as not run
    And it is told to come back in 15 to 20 s
    And no plain target got it
    And all these steps succeed

  Scenario: A request waits for a target that is free soon
    Given a platform with 2 domains of 6 targets, and an entry
    When both plain targets ask to be left alone for 0.8 s, and have refused
    And a client sends an order
    Then it gets the body "done" with status 200
    And all these steps succeed

  Scenario: The head of a group asks to be left alone
    Given a platform with 2 domains of 6 targets, and an entry
    When one head asks to be left alone for 1.5 s, and has refused once
    Then for 1 s all streams go to the other head
    And both groups are kept
    And all these steps succeed

  Scenario: All heads ask to be left alone for longer than a request can wait
    Given a platform with 2 domains of 6 targets, and an entry
    When all heads ask to be left alone for 20 s, and have refused
    And a client asks for a stream of 8 events
    Then it is refused with status 503 as not run
    And it is told to come back in 15 to 20 s
    And all these steps succeed

  Scenario: The metrics page shows why targets are not sent requests
    Given a platform with 2 domains of 6 targets, and an entry
    When plain target "p0" says in its answers that it leaves, and has answered once
    Then the metrics page shows 1 target avoided because it is "leaving"
    And all these steps succeed
