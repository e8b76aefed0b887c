Feature: Fault schedules

  Scenario: Soak schedules cover every kind of fault, and some have only planned ones
    Then 200 soak schedules have every kind of fault and some have only planned ones

  Scenario: Shrinking a soak schedule keeps only the faults that cause the failure
    Then shrinking a soak schedule of 12 faults, 2 of which cause the failure, leaves those 2
