Feature: When a command may be sent

  Scenario Outline: A target that <kind> tokens with <left> seconds of the lease left
    Then a command to a target whose tokens are <kind> with <left> seconds left is <answer>

    Examples:
      | kind    | left | answer  |
      | checked | 3    | sent    |
      | checked | -9   | sent    |
      | ignored | 3    | sent    |
      | ignored | 1    | sent    |
      | ignored | 0.9  | not sent |
      | ignored | -9   | not sent |

  Scenario: Without a grant nothing is sent
    Then without a grant no command is sent
