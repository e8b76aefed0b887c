Feature: Messages between entries need a shared key, and keys are rotated without downtime

  Scenario Outline: Messages arrive only between entries that share a key
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

  Scenario: A sender that knows only the public key is not heard
    Then a sender with its own key pair and the public peer key is not heard

  Scenario: The secret of a key never appears in texts
    Then a malformed peer key is rejected without showing its text
