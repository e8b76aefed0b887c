Feature: Lease, table and commands under every interleaving of a small bound

  Scenario Outline: Every interleaving of <steps> steps keeps the invariants
    Then every interleaving of <steps> steps with <entries> entries holds

    Examples:
      | entries | steps |
      | 2       | 4     |
      | 3       | 3     |

  Scenario Outline: The exploration catches <mutant>
    Then the interleavings of <steps> steps catch <mutant>

    Examples:
      | mutant                         | steps |
      | a successor that does not wait | 4     |
      | epochs without the token       | 4     |
      | commands after the lease       | 5     |
