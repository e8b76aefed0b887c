Feature: When a draining group may be dissolved

  Scenario Outline: A leader reports <running> running requests and entries report <sends> in flight
    Given a draining group whose leader reports <running> running requests
    When entries report <sends> requests in flight for 10 seconds
    Then the group is <answer>

    Examples:
      | running | sends | answer      |
      | 0       | 0     | drained     |
      | 1       | 0     | not drained |
      | 0       | 1     | not drained |

  Scenario: A group is not drained at once
    Given a draining group whose leader reports 0 running requests
    When entries report 0 requests in flight for 2 seconds
    Then the group is not drained

  Scenario Outline: A request that the leader has not reported yet keeps its group
    Given a draining group whose leader reports 0 running requests
    When <entry> has a request in flight in the group for 10 seconds
    Then the group is not drained
    When that request has ended for 10 seconds
    Then the group is drained

    Examples:
      | entry            |
      | the lease holder |
      | a peer           |
