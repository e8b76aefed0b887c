Feature: A relay among the stand-ins

  Scenario: The link relays, cuts, and cuts after a number of bytes
    Then a link relays an answer, resets it after 40 bytes and refuses it when cut
