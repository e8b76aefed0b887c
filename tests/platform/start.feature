Feature: The start of an entry on the users' platform

  Scenario Outline: A reload signal during the start does not end the entry
    When an entry gets SIGHUP as it <step>
    Then the entry answers at its readiness address within 10 s

    Examples:
      | step                        |
      | imports trio                |
      | imports its tasks           |
      | reads its settings          |
      | binds its first address     |
      | binds its last address      |
