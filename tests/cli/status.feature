Feature: The status subcommand

  Scenario: Status of a simulated deployment while the platform is down
    Given the status of an entry of a simulated deployment whose platform was down for 20 s
    Then the status text says "platform NOT REACHED for 2"
    And the status text says "groups: 2 of 2 wanted are complete"

  Scenario: An entry that does not answer is listed as not asked
    When galenavane runs "status 127.0.0.1:9"
    Then it exits with 1
    And its output contains "NOT ASKED"

  Scenario: Status of 12000 groups is a summary and a short list
    Given the status of an entry with 12000 groups of which one is incomplete
    Then the status text has under 50 lines
    And the status text filtered to incomplete groups lists 1 group

  Scenario: No entry address is given
    When galenavane runs "status"
    Then it exits with 2 and one line that contains "no entry was named"
