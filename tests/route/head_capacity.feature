Feature: Limit of requests at the head of a group

  Scenario Outline: Some of a model's groups are missing for eight seconds
    Given 44 requests per second for a model of which <heads> of 6 groups serve
    When they are simulated for 8 s with a limit on each head
    And they are simulated for 8 s without a limit
    Then with the limit at least <share> of all callers get their first event in time
    And these are at least <factor> times as many as without the limit
    And with the limit no accepted caller waits over 1 s, after which callers disconnect
    And no caller is refused while a head has a free slot

    Examples:
      | heads | share | factor |
      | 2     | 0.6   | 3      |
      | 3     | 0.8   | 1      |

  Scenario: All groups serve
    Given 44 requests per second for a model of which 6 of 6 groups serve
    When they are simulated for 8 s with a limit on each head
    Then with the limit at least 0.99 of all callers get their first event in time

  Scenario: Callers refused together retry at different times
    Then the retry times of 200 callers refused at once are spread over at least 0.5 s

  Scenario: Many entries that see loads half a second late don't overload one head together
    Given 78 entries that send 200 requests per second to 12 heads and see loads 0.5 s late
    When they pick heads for 10 s
    Then the most loaded head has at most a third of its load when all heads are compared
