Feature: Lease, table and commands under every interleaving of a few steps

  Scenario Outline: Every interleaving of <steps> steps keeps the invariants
    Then every interleaving of <steps> steps with <entries> entries keeps the invariants

    Examples:
      | entries | steps |
      | 2       | 4     |
      | 3       | 3     |

  Scenario Outline: The exploration detects <mutant>
    Then exploring <steps> steps detects <mutant>

    Examples:
      | mutant                         | steps |
      | a successor that does not wait | 4     |
      | epochs without the token       | 4     |
      | commands after lease expiry    | 5     |
