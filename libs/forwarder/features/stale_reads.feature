Feature: Reads that may be old hide no change

  Scenario Outline: A route moved before its data centre restarts is not served by the old service
    Given a running deployment
    When reads that may be old are 5 s behind and name the revision of <revision>
    And a route is moved to another service
    And every balancer of a data centre is killed and restarted
    Then the new service answers through every balancer within 4 s

    Examples:
      | revision       |
      | their copy     |
      | the newest one |

  Scenario Outline: A target that drains before its data centre restarts gets no new flows
    Given a running deployment
    When 20 flows send a request
    And reads that may be old are 5 s behind and name the revision of <revision>
    And the entry of a target changes to draining
    And every balancer of a data centre is killed and restarted
    Then new flows avoid it within 4 s

    Examples:
      | revision       |
      | their copy     |
      | the newest one |

  Scenario: Logs tell what was read, how new it was and where the balancer goes on
    Given a running deployment
    Then the log of every balancer tells the revisions of what it read
    And balancers with one version of the configuration log one digest

  Scenario: A change that should have been known is reported
    Given a running deployment
    When 3 s pass
    And the store gives out revisions a second time in one era
    And a route is moved to another service
    Then the new service answers through every balancer within 4 s
    And a balancer reports a missed change
