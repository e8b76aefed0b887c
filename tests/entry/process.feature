Feature: A planned stop of an entry interrupts no request

  Scenario: A stream in flight completes while new requests are refused as not run
    Then an entry that stops completes its stream, refuses new requests and hands over the lease
