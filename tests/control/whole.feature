Feature: Control in a whole simulated deployment

  Scenario: A maintenance preset cuts off no stream and stops one group
    Then with seed 11 a maintenance preset ends every stream whole and leaves one group

  Scenario: A planned stop hands the lease over in under a second
    Then with seed 12 another entry holds the lease within a second of a planned stop

  Scenario: A group is repaired while the platform is down
    Then with seed 13 a killed member is replaced during an outage and the table is kept after it

  Scenario: A lease holder that freezes and wakes does no harm
    Then with seed 14 a holder that freezes for 20 seconds does not hold the lease when it wakes
