Feature: Reports that entries share are never dated later than they were true

  Scenario: Messages are lost or delayed and entries restart, at random
    Then shared reports with seeds 1 to 40 are never dated later than they were true

  Scenario: The check detects reports that are dated by their arrival
    Then shared reports dated by arrival are dated too late with a seed up to 40

  Scenario: Lost changes are sent again
    Then shared reports are complete again within 3 rounds after a lost message

  Scenario: Unchanged reports take few bytes
    Then a message that confirms 29 unchanged reports has at most 64 bytes
