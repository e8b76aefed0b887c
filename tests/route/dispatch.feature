Feature: Routing in a simulated deployment

  Scenario: A group with a leaving member gets no new requests
    Then in a simulated deployment with seed 11 a group with a leaving member gets no new request

  Scenario: Requests beyond the capacity of the groups are refused early and not run
    Then in a simulated deployment with seed 12 an overload is refused early, not run and with a retry time

  Scenario: An account with many requests does not delay another
    Then in a simulated deployment with seed 13 an account with few requests is answered beside a busy one

  Scenario: A request is served before those whose caller asked for a lower class
    Then in a simulated deployment with seed 14 a request of default priority overtakes many of priority 5
