Feature: When a draining group may be dissolved

  Scenario Outline: A group with <running> running requests, of which entries tell <sends>
    Given a draining group whose leader reports <running> running requests
    When entries tell of <sends> requests in flight for 10 seconds
    Then the group is <answer>

    Examples:
      | running | sends | answer    |
      | 0       | 0     | quiet     |
      | 1       | 0     | not quiet |
      | 0       | 1     | not quiet |

  Scenario: A group is not quiet at once
    Given a draining group whose leader reports 0 running requests
    When entries tell of 0 requests in flight for 2 seconds
    Then the group is not quiet
