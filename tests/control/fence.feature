Feature: Lease fencing of commands

  Scenario Outline: Tokens are <kind> and the lease has <left> seconds left
    Then a command to a target whose tokens are <kind> with <left> seconds left is <answer>

    Examples:
      | kind    | left | answer  |
      | checked | 3    | sent    |
      | checked | -9   | sent    |
      | ignored | 3    | sent    |
      | ignored | 1    | sent    |
      | ignored | 0.9  | not sent |
      | ignored | -9   | not sent |

  Scenario: Without a lease nothing is sent
    Then without a lease no command is sent
