Feature: Decision on a group that is reported as stalled

  Scenario Outline: A group is dissolved only if it is lost, or if nobody waits for it
    Given a reported group with <gone> members without a process and <silent> silent ones
    When its members have been silent for <seconds> s and its head has <requests> requests
    Then the decision is to <verdict> it

    Examples:
      | gone | silent | seconds | requests | verdict  |
      | 1    | 0      | 0.0     | 9        | dissolve |
      | 1    | 2      | 0.0     | 9        | dissolve |
      | 0    | 0      | 0.0     | 9        | keep     |
      | 0    | 0      | 0.0     | 0        | keep     |
      | 0    | 0      | 9.0     | 9        | keep     |
      | 0    | 1      | 0.1     | 9        | wait     |
      | 0    | 1      | 0.1     | 0        | wait     |
      | 0    | 1      | 0.5     | 0        | dissolve |
      | 0    | 1      | 1.5     | 1        | wait     |
      | 0    | 1      | 2.1     | 1        | dissolve |
