Feature: TCP proxy of the stand-ins

  Scenario: The proxy relays, refuses, and resets after a number of bytes
    Then the proxy relays a response, resets it after 40 bytes and closes a connection when cut

  Scenario: A paused target loses no bytes and goes on with its connections
    Then a response is held for 0.5 s and then relayed

  Scenario: A target that accepts no connection accepts later ones
    Then attempts to connect time out for 0.5 s and succeed later
