Feature: An accepted configuration is in force on every entry within 6 seconds and never reverts

  Scenario Outline: A change reaches every entry despite a fault
    Then configurations are in force on 6 entries within 6 seconds when <fault>

    Examples:
      | fault                                           |
      | there is no fault                               |
      | watches return no changes                       |
      | the platform is slow                            |
      | a data centre is disconnected from the platform |
      | only one entry is connected to the platform     |

  Scenario: The three watchers of a data centre are disconnected from the platform
    Then configurations reach a data centre whose 3 watchers alone are disconnected from the platform

  Scenario: An entry that starts during an outage gets the configuration from its peers
    Then configurations reach an entry that is replaced during an outage of the platform

  Scenario: An entry without any connection is not ready until it is connected
    Then an entry without connections has no configuration and is not ready until it is connected

  Scenario: A platform that lost accepted changes does not revert entries
    Then configurations are not reverted when the platform loses accepted changes

  Scenario: A planned stop removes an entry's registration
    Then an entry that is stopped as planned is no longer registered

  Scenario Outline: Configurations are changed during random partitions, outages and restarts
    Then configurations never go back or get lost with seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
