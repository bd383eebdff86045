Feature: A data centre that misses a change learns of it from other balancers

  Scenario: A route that the store hides from the watches of a data centre
    Given a running deployment
    When the store hides configurations from the watches of a data centre
    And a route is moved to another service
    Then the new service answers through every balancer within 6 s
    And one balancer reports that its configuration was behind

  Scenario: Nothing is reported while configurations change
    Given a running deployment
    When a route is moved to another service
    Then the new service answers through every balancer within 4 s
    And no balancer reports that its configuration was behind

  Scenario: A forged version is looked for once and changes nothing
    Given a running deployment
    When every balancer is told once that version 4000000000 is in force
    Then within 5 s each reports at most once that its configuration was behind
    And the old service answers through every balancer
    When a route is moved to another service
    Then the new service answers through every balancer within 4 s
