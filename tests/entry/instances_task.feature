Feature: The list of instances is read in parts that don't grow with the deployment

  Scenario: Only changes of the own data centre are sent in a large deployment
    Then in a simulated deployment of 1005 instances an entry follows its own 6 and not the others

  Scenario: A change reaches an entry of a large deployment
    Then in a simulated deployment of 1005 instances an entry learns that its own one is leaving
