Feature: Log lines never make anybody wait

  Scenario: Nobody reads the pipe
    Given a log over a pipe that nobody reads
    When 20000 lines are logged
    Then that took under 2 s
    And lines were left out and counted
    And what is read from the pipe afterwards is whole lines

  Scenario: The reader is gone
    Given a log over a pipe whose reader is gone
    When 10 lines are logged
    Then 10 lines are counted as left out
