Feature: Reports that entries tell each other are never dated too young

  Scenario: Lost, delayed and repeated starts at random
    Then shared reports with seeds 1 to 40 are never newer than the truth

  Scenario: Dating by arrival is caught
    Then shared reports dated by arrival are newer than the truth with a seed up to 40

  Scenario: Lost changes are told anew
    Then shared reports are whole again within 3 rounds after a lost message

  Scenario: Unchanged reports cost little
    Then a message that confirms 29 unchanged reports has at most 64 bytes
