Feature: An entry that stops answers or refuses each request that it has begun to read

  Scenario: Requests that arrive slowly while an entry stops
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry gets SIGTERM with a grace time of 6 s
    And clients send half a head, half a body and nothing 3 s later
    And the first two send the rest 1.5 s later, and another one never does
    Then the first two are refused as not run
    And the one that never sends the rest is refused as not run before the grace time ends
    And the idle connection is closed without a reset, and the entry ends within its grace time
    And all these steps succeed

  Scenario: A request that a target has not answered when the grace time ends
    Given a platform with 2 domains of 6 targets, and an entry
    When the next target answers HTTP/1.1 200 OK with a length of 16, an empty one, and is silent
    And a client sends an order and the entry gets SIGTERM with a grace time of 4 s
    Then the request gets status 504 with outcome unknown before the grace time ends
    And all these steps succeed

  # Guards against a second signal that ends the process and cuts its requests off (review/3).
  Scenario Outline: A further signal while an entry stops cuts no request off
    Given a platform with 2 domains of 6 targets, and an entry
    When a target answers an order after 2 s
    And the entry gets SIGTERM with a grace time of 6 s
    And it gets <signals> 0.5 s later
    Then the order is answered with "done"
    And all these steps succeed

    Examples:
      | signals                 |
      | SIGTERM                 |
      | SIGINT                  |
      | SIGTERM SIGINT SIGTERM  |

  # Guards against requests that are begun late in the grace time and cut at its end (issue 33).
  Scenario Outline: A request that still waits when the entry has left the balancer is refused
    Given a platform with 2 domains of 6 targets, and an entry
    When the entry gets SIGTERM with a grace time of 6 s
    And 2.3 s later the plain targets accept no connection for 1 s
    And a client <request> that has to wait
    Then it is refused as not run within 1.5 s
    And 0 requests arrived
    And all these steps succeed

    Examples:
      | request                     |
      | places an order             |
      | looks an order up           |
      | asks for a stream of a feed |

  Scenario: A request that is due before the entry ends is still served
    Given a platform with 2 domains of 6 targets, and an entry
    When the configuration has a route for quick orders
    And the entry gets SIGTERM with a grace time of 6 s
    And 2.3 s later the plain targets accept no connection for 1 s
    And a client places a quick order that has to wait
    Then it gets the body "done" with status 200
    And all these steps succeed
