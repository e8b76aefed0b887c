Feature: Real entry processes hold their guarantees under injected faults

  Scenario Outline: A short run of a seed violates no guarantee
    When the faults of seed <seed> are injected for 4 s
    Then no guarantee is violated

    Examples:
      | seed |
      | 3    |
      | 11   |

  Scenario Outline: Each check reports its violation
    Given records in which <violation>
    Then the check of "<check>" reports it

    Examples:
      | violation                                           | check    |
      | a stream misses an event                            | streams  |
      | a stream ends normally before its last event        | streams  |
      | an order ran twice                                  | once     |
      | a request that was told 503 ran                     | not_run  |
      | a request ran 7 s after its key was removed         | revoked  |
      | a request reached a target 5 s after it left        | leaving  |
      | a process went back to an earlier configuration     | versions |
      | a target was taken from a serving group             | joins    |
