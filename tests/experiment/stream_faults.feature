Feature: Streamed answers under randomised faults

  Scenario: Streams under fixed fault schedules come whole or end with a number
    Then 14 streams of seed 5 show no wrong, doubled or missing token
