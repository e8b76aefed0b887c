Feature: Further sends are limited over all entries

  Scenario Outline: All entries together stay within the ratio and the slack
    Given <entries> entries that each get <rate> requests per second and try to send all of them again
    When they get requests for 20 s
    Then in any 10 s at most 0.2 of the requests plus 130 were sent again

    Examples:
      | entries | rate |
      | 1       | 50   |
      | 6       | 15   |
      | 78      | 3    |
