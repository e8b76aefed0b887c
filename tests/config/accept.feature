Feature: A configuration is accepted once and for certain

  Scenario: Two operators at once give one winner and a conflict that shows what changed
    Then accepting with two operators at once gives one winner and names the winner's change

  Scenario: Applying the same declarations twice changes nothing
    Then accepting the same declarations twice leaves the generation

  Scenario: A rollback is a new generation
    Then accepting a rollback to generation 1 gives generation 3 with the preset of generation 1

  Scenario: A generation that was never replaced is not rolled back to
    Then accepting a rollback to generation 7 is refused with "has not been replaced"

  Scenario: The platform lost accepted changes
    Then accepting after the platform lost generations that entries have takes a higher one

  Scenario: A section that the platform can't hold is refused before anything is written
    Then accepting a section over 1 MB is refused in one line and writes nothing

  Scenario: A section that was changed in the platform is not read
    Then accepting on top of a damaged section is refused with "does not have hash"

  Scenario: Too few instances give a warning
    Then accepting a preset that needs more instances than are live warns

  Scenario Outline: Operators race on a platform that loses answers
    Then accepting at random with seed <seed> loses no accepted change and answers truly

    Examples:
      | seed |
      | 1    |
      | 2    |
      | 3    |
      | 4    |
      | 5    |
      | 6    |
