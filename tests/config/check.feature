Feature: Checks of declarations, settings and arguments

  Scenario: The example declarations are correct
    Given the example declarations
    When galenavane runs "check {folder}"
    Then it exits with 0

  Scenario Outline: Invalid declarations are reported in one line with exit code 2
    Given the example declarations
    And file "<file>" with "<old>" replaced by "<new>"
    When galenavane runs "check {folder}"
    Then it exits with 2 and one line that contains "<text>"

    Examples:
      | file         | old                  | new                  | text                                    |
      | services.ini | fencing = checked    | fenced = checked     | key "fenced" in section                 |
      | services.ini | members = 2          | members = 0          | members of service "scribe-model" is 0  |
      | services.ini | service order-desk   | service scribe-model | service scribe-model' already exists     |
      | services.ini | kind = plain         | kind = other         | Invalid enum value                      |
      | presets.ini  | model = scribe       | model = scribble     | model "scribble" is not declared        |
      | presets.ini  | version = v1         | version = v9         | version "v9" of model "scribe"          |
      | presets.ini  | makole:2             | makole:two           | is not DATA_CENTRE:COUNT                |
      | accounts.ini | key_sha256 = 7       | key_sha256 = 77      | is not 64 hexadecimal digits            |

  Scenario: A folder that does not exist
    When galenavane runs "check {folder}/none"
    Then it exits with 2 and one line that contains "does not exist"

  Scenario: A section over 1 MB is refused before it is applied
    Given the example declarations
    And a model with adapters of more than 1 MB
    When galenavane runs "check {folder}"
    Then it exits with 2 and one line that contains "over the 1000000 allowed"

  Scenario: An argument that is not an address is reported in one line
    When galenavane runs "status localhost:80"
    Then it exits with 2 and one line that contains "is not an IP number and port"

  Scenario Outline: Invalid settings are reported in one line with exit code 2
    Given settings with "<old>" replaced by "<new>"
    When galenavane runs "entry --settings {folder}/entry.ini"
    Then it exits with 2 and one line that contains "<text>"

    Examples:
      | old                      | new                     | text                                   |
      | callers = 127.0.0.1:8000 | callers = localhost:800 | key "callers" in section "entry"       |
      | callers = 127.0.0.1:8000 | callers = 127.0.0.1     | is not an IP number and port           |
      | name = e1                | nam = e1                | key "nam" is not known                 |
      | peers = 127.0.0.1:8002   |                         | key "peers" in section "entry" is missing |

  Scenario: A settings file that does not exist
    When galenavane runs "entry --settings {folder}/none.ini"
    Then it exits with 2 and one line that contains "does not exist"

  Scenario: Any INI text is read or rejected with a one-line error
    Then reading any INI text gives declarations or one user error
