Feature: Further sends are bounded over all entries

  Scenario Outline: All entries together stay within ratio and slack
    Given <entries> entries that each take <rate> requests a second and want to send all again
    When they take requests for 20 s
    Then in no 10 s more than 0.2 of the requests and 130 more were sent again

    Examples:
      | entries | rate |
      | 1       | 50   |
      | 6       | 15   |
      | 78      | 3    |
