Feature: Reads that may be old hide no change

  Scenario: Logs tell what was read, how new it was and where the balancer goes on
    Given a running deployment
    Then the log of every balancer tells the revisions of what it read
    And balancers with one version of the configuration log one digest

  Scenario: A change that should have been known is reported
    Given a running deployment
    When the store gives out revisions a second time in one era
    And a route is moved to another service
    Then the new service answers through every balancer within 4 s
    And a balancer reports a missed change
