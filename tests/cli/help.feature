Feature: Help, completion and errors of the command line

  Scenario Outline: Every subcommand has a help text
    When galenavane runs "<command> --help"
    Then it exits with 0
    And its output contains "usage: galenavane <command>"

    Examples:
      | command          |
      | entry            |
      | check            |
      | check-settings   |
      | apply            |
      | preset           |
      | diff             |
      | rollback         |
      | status           |
      | timeline         |
      | load             |
      | errors           |
      | completion       |
      | standin platform |
      | standin engine   |
      | standin fleet    |
      | standin plain    |

  Scenario: The completion script contains subcommands and flags
    When galenavane runs "completion"
    Then it exits with 0
    And its output contains "--fabric-domain"

  Scenario: An address that is in use is reported in one line
    Given an address that is in use
    When galenavane runs "standin platform {address}"
    Then it exits with 2 and one line that contains "can't be listened on"
