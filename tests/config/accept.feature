Feature: Acceptance of configurations

  Scenario: Of two concurrent changes one is accepted and the other shows what conflicts
    Then of two concurrent changes one is accepted and the other reports the accepted one

  Scenario: Applying the same declarations twice changes nothing
    Then accepting the same declarations twice keeps the generation

  Scenario: A rollback creates a new generation
    Then accepting a rollback to generation 1 gives generation 3 with the preset of generation 1

  Scenario: A rollback to a generation that was never replaced is refused
    Then accepting a rollback to generation 7 is refused with "has not been replaced"

  Scenario: A change after the platform lost accepted changes
    Then a change after the platform lost generations in force on entries gets a higher generation

  Scenario: A section over the platform's size limit is refused before anything is written
    Then accepting a section over 1 MB is refused in one line and writes nothing

  Scenario: A stored section that does not match its hash is rejected
    Then a change based on a damaged section is refused with "does not have hash"

  Scenario: A preset that needs more instances than are live causes a warning
    Then accepting a preset that needs more instances than are live warns

  Scenario Outline: Concurrent operators on a platform that loses responses
    Then random concurrent changes with seed <seed> lose no accepted change and get true answers

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
