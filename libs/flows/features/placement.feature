Feature: New flows are spread

  Scenario: Flows fill the targets evenly
    Given a balancer with 4 targets
    When 40 flows are opened
    Then each target has 10 flows

  Scenario: A target that still warms up gets fewer flows
    Given a balancer with 3 targets of which 1 warms up
    When 52 flows are opened
    Then the warming target has between 10 and 14 flows

  Scenario: Targets of the local data centre are preferred
    Given a balancer with 2 targets and 2 remote ones
    When 10 flows are opened
    Then no remote target has flows

  Scenario: A data centre with few targets sends some flows to the others
    Given a balancer with 1 targets and 9 remote ones
    When 400 flows are opened
    Then the own target has between 80 and 120 flows

  Scenario: Remote targets serve if there are no local ones
    Given a balancer with 0 targets and 2 remote ones
    When 10 flows are opened
    Then each remote target has 5 flows

  Scenario: A SYN to a service without targets is reset
    Given a balancer with 0 targets
    When a SYN arrives
    Then it is reset as "no_target"

  Scenario: A traffic split skips a service without targets
    Given a balancer with 2 targets
    When the route is split between its service and one without targets
    Then 50 new flows reach the service that has targets

  Scenario: Closed flows no longer count
    Given a balancer with 2 targets
    When 10 flows are opened
    And the flows of one target are closed
    And 5 flows are opened
    Then the new flows are on the target whose flows were closed
