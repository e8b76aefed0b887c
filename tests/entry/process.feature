Feature: A planned stop cuts off nothing

  Scenario: A stream in flight ends whole while new requests are refused as not run
    Then an entry that stops ends its stream, refuses new requests and leaves in order
