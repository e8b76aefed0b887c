Feature: An accepted configuration is in force everywhere within 6 seconds and never reverts

  Scenario Outline: A change reaches every entry
    Then configurations are in force on 6 entries within 6 seconds when <fault>

    Examples:
      | fault                                   |
      | all is well                             |
      | watches are silent                      |
      | the platform is slow                    |
      | a data centre is cut from the platform  |
      | only one entry reaches the platform     |

  Scenario: The three watchers of a data centre are cut from the platform
    Then configurations reach a data centre whose 3 watchers alone are cut from the platform

  Scenario: An entry that starts during an outage takes the configuration from its peers
    Then configurations reach an entry that is replaced during an outage of the platform

  Scenario: An entry that reaches nobody is not ready and serves nothing
    Then configurations are waited for by an entry that reaches nobody

  Scenario: A platform that lost accepted changes reverts no entry
    Then configurations are not reverted when the platform loses accepted changes

  Scenario: A stopped entry is not registered any more
    Then configurations list no entry that was stopped as planned

  Scenario Outline: Operators, cuts, outages and restarts at random
    Then configurations never fall or get lost with seed <seed>

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
