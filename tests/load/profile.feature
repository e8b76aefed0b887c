Feature: What a load sends

  Scenario: The example profile draws lengths within its bounds and shares prefixes
    Then the example load profile draws 500 requests within its bounds

  Scenario Outline: A wrong load profile is refused with its file named
    Then a load profile with "<line>" is refused because of "<reason>"

    Examples:
      | line                | reason                  |
      | prompt_tokens = 9-3 | "9-3" is no range       |
      | completions = often | could not convert       |
      | answer_tokens = 0   | "0" is no range         |

  Scenario: Two load summaries are drawn in one picture
    Then a load summary is drawn beside an earlier one as well-formed SVG
