Feature: Real entry processes keep their promises while they are disturbed

  Scenario Outline: A short run of a seed keeps every promise
    When the faults of seed <seed> are played for 4 s
    Then no promise broke

    Examples:
      | seed |
      | 3    |
      | 11   |

  Scenario Outline: Each check finds what it is for
    Given records in which <what>
    Then the check of "<check>" finds it

    Examples:
      | what                                                | check    |
      | a stream misses an event                            | streams  |
      | a stream ends whole before its last event           | streams  |
      | an order ran twice                                  | once     |
      | a request that was told 503 ran                     | not_run  |
      | a request ran 7 s after its key was removed         | revoked  |
      | a request reached a target 5 s after it left        | leaving  |
      | a process went back to an earlier configuration     | versions |
      | a target was taken from a group that serves         | joins    |
