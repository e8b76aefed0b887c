Feature: TCP proxy of the stand-ins

  Scenario: The proxy relays, refuses, and resets after a number of bytes
    Then the proxy relays a response, resets it after 40 bytes and closes a connection when cut
