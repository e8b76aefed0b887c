Feature: Real entry processes hold their guarantees under injected faults

  Scenario Outline: A short run of a seed violates no guarantee
    When the faults of seed <seed> are injected for 4 s
    Then no guarantee is violated

    Examples:
      | seed |
      | 3    |
      | 11   |

  Scenario Outline: No answer is lost around planned work and pauses of sound targets
    When the planned work of seed <seed> is carried out for 4 s
    Then no guarantee is violated

    Examples:
      | seed |
      | 2    |
      | 8    |

  Scenario Outline: Targets that leave or ask to be left alone are left alone
    When the notices of seed <seed> are given for 4 s
    Then no guarantee is violated

    Examples:
      | seed |
      | 5    |

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
      | a request reached a target that had said it leaves  | alone    |
      | 3 requests reached a target that had asked to wait  | alone    |
      | a process went back to an earlier configuration     | versions |
      | a target was taken from a serving group             | joins    |
      | a stream is broken off and its target goes on       | answered |
      | a request that reached a target gets no byte        | answered |
      | a connection closes 1.5 s after a request           | answered |
      | a new connection closes and the entry goes on       | answered |
      | a connection closes in an answer's head             | answered |
      | a target leaves before a stream is sent to another  | answered |
      | a target leaves before an answer begins             | answered |
      | a target leaves after its answer                    | answered |
      | an entry ends early in its grace time               | answered |
      | an entry ends after the target's answer             | answered |
      | a request waits for a target until its entry ends   | answered |
      | a caller gives up before the time limit             | answered |

  Scenario Outline: The check of answers allows what no entry can prevent
    Given records of <case>
    Then the check of answers reports nothing

    Examples:
      | case                                                  |
      | a complete refusal                                    |
      | a stream that its caller left                         |
      | a request that was not sent completely                |
      | a request that crossed the close of a kept connection |
      | a request on a new connection as its entry ends       |
      | a stream whose target left                            |
      | a target at work in the last part of the grace time   |
      | a request that lasted until its time limit            |
