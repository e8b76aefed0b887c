Feature: Groups follow the observed work

  Scenario: A model in higher demand than declared gets more groups after losses
    Given a fleet of 4 domains with 27 targets of models with 12 and 6 members and equal shares
    When the controller runs for 12 s
    And requests keep 40 targets of "small" and 8 of "large" busy for 12 s
    And a member of every group dies and is reported
    And the controller runs for 6 s
    Then "small" has at least 3 times the groups of "large"

  Scenario: Few requests don't change the declared shares
    Given declared shares of 0.5 and 0.5
    When requests keep 1 target of "small" busy
    Then the shares are 0.50 and 0.50

  Scenario: Shares move towards the observed ones within seconds
    Given declared shares of 0.5 and 0.5
    When requests keep 30 targets of "small" and 10 of "large" busy for 9 s
    Then the shares are 0.33 and 0.67
