Feature: Routing inside a whole deployment

  Scenario: A group with a leaving member gets nothing new
    Then in a simulated deployment with seed 11 a group with a leaving member gets no new request

  Scenario: More than the groups can take is refused early and not run
    Then in a simulated deployment with seed 12 an overload is refused early, not run and with a retry time

  Scenario: A hot account leaves room for another
    Then in a simulated deployment with seed 13 a quiet account is answered beside a hot one

  Scenario: A request goes before those whose caller asked for a lower class
    Then in a simulated deployment with seed 14 a plain request overtakes many of priority 5
