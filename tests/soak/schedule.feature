Feature: Schedules of faults

  Scenario: Every kind of fault is in some soak schedule, and some are planned only
    Then 200 soak schedules hold every kind of fault and some hold planned ones only

  Scenario: Shortening keeps only the soak faults that matter
    Then shortening a soak schedule of 12 faults that needs 2 leaves those 2
