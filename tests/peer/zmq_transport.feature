Feature: Strangers neither read nor speak between entries, and keys roll over without a stop

  Scenario Outline: Who hears whom
    Then an entry with peer keys "<sender>" <outcome> one with peer keys "<receiver>"

    Examples:
      | sender  | receiver | outcome         |
      |         |          | is heard by     |
      | old     | old      | is heard by     |
      |         | old      | is not heard by |
      | other   | old      | is not heard by |
      | old     | other    | is not heard by |
      | old     | old new  | is heard by     |
      | old new | old      | is heard by     |
      | old new | new old  | is heard by     |
      | new old | old new  | is heard by     |
      | new     | new old  | is heard by     |
      | new old | new      | is heard by     |
      | old     | new      | is not heard by |

  Scenario: A caller that knows only the public key is not heard
    Then a caller with its own key pair and the public peer key is not heard

  Scenario: A key never shows its secret
    Then a peer key that is damaged is refused without its text
