Feature: Load profiles and plots

  Scenario: The example profile draws lengths within its bounds and shares prefixes
    Then the example load profile draws 500 requests within its bounds

  Scenario Outline: An invalid load profile is rejected with a message that names the file
    Then a load profile with "<line>" is rejected because of "<reason>"

    Examples:
      | line                | reason                  |
      | prompt_tokens = 9-3 | "9-3" is not a range    |
      | completions = often | could not convert       |
      | answer_tokens = 0   | "0" is not a range      |

  Scenario: Two load summaries are drawn in one plot
    Then two load summaries are drawn in one plot as well-formed SVG
