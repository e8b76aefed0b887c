Feature: Non-idempotent requests under random faults

  Scenario: Fault schedules of fixed seeds cause no violation
    Then the fault schedules of seeds 1 to 25 cause no violation

  Scenario: A job runs at most once when its connection is reset during request or response
    Then a job whose connection is reset at each 7th byte runs at most once
