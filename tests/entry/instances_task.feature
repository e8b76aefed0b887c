Feature: The part of the instance list that an entry reads does not grow with the deployment

  Scenario: An entry of a large deployment reads only the instances of its data centre
    Then in a simulated deployment of 1005 instances an entry tracks only the 6 of its data centre

  Scenario: A change of a local instance reaches an entry of a large deployment
    Then in a simulated deployment of 1005 instances an entry learns that a local one is leaving
