Feature: The check-settings subcommand

  Scenario: A correct file
    Given a settings file of an entry on a platform
    When it is checked
    Then the command succeeds and reports no error

  Scenario: Every error is reported on its own line
    Given a settings file of an entry on a platform
    And its line "data_centre = dc" is missing
    And its line "peer_port = 7000" reads "peer_port = high"
    And its line "[stop]" reads "colour = red"
    When it is checked
    Then the command fails and names "data_centre", "peer_port" and "colour" on lines of their own

  Scenario: An entry without memory
    Given a settings file of an entry on a platform
    And its line "peer_port = 7000" reads "memory = 0"
    When it is checked
    Then the command fails and names "memory", "0" and "peer_port" on lines of their own
