Feature: Writing log lines never blocks

  Scenario: The pipe is full because nobody reads it
    Given a log over a pipe that nobody reads
    When 20000 lines are logged
    Then that took under 2 s
    And some lines were dropped and counted
    And the pipe then holds only whole lines

  Scenario: The reader is gone
    Given a log over a pipe whose reader is gone
    When 10 lines are logged
    Then 10 lines are counted as dropped
