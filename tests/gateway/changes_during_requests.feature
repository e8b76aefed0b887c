Feature: Configurations that change while requests are being served

  Scenario Outline: A stream that has to be sent again goes on, whatever has become of its route
    Given a platform with 2 domains of 6 targets, and an entry
    When a client asks for a stream of 40 events
    And the configuration <change> after 5 events
    And a member of its group dies after 15 events
    Then it gets events 1 to 40 and the end
    And the events came without a pause of more than 2 s
    And all these steps succeed

    Examples:
      | change                             |
      | moves its route to another service |
      | removes its route                  |
      | removes its service                |
      | removes its key                    |

  Scenario Outline: A stream ends at its group, whatever has become of its route
    Given a platform with 1 domains of 6 targets, and an entry
    When a client asks for a stream of 100 events
    And the configuration <change> after 5 events
    Then it gets events 1 to 100 and the end
    And the events came without a pause of more than 2 s
    And all these steps succeed

    Examples:
      | change                             |
      | moves its route to another service |
      | removes its route                  |
      | removes its service                |
      | removes its key                    |

  Scenario Outline: A request that waits at a target is answered, whatever has become of its route
    Given a platform with 1 domains of 5 targets, and an entry
    When targets of the plain service answer after 1 s, and <fault>
    And a client sends <request>, and the configuration <change> meanwhile
    Then it gets the body "done" with status 200
    And all these steps succeed

    Examples:
      | request   | change                             | fault               |
      | an order  | moves its route to another service | none fails          |
      | an order  | removes its route                  | none fails          |
      | an order  | removes its service                | none fails          |
      | an order  | removes its key                    | none fails          |
      | a look-up | moves its route to another service | the first one fails |
      | a look-up | removes its route                  | the first one fails |
      | a look-up | removes its service                | the first one fails |
      | a look-up | removes its key                    | the first one fails |
