Feature: Streamed responses under random faults

  Scenario: Streams under faults of a fixed seed arrive complete or end early without wrong tokens
    Then 14 streams of seed 5 have no wrong, duplicated or missing token
