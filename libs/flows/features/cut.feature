Feature: A data centre that is cut off

  Scenario: Callers that can't be served are sent elsewhere
    Given a balancer with 0 targets and 2 remote ones
    When the platform is silent for 2000 ms
    And all remote targets are found dead
    And 10 SYNs are refused
    Then the balancer leaves the rotation
    When the platform is heard again
    Then the balancer is back in the rotation

  Scenario: While the platform is heard the targets are to blame
    Given a balancer with 0 targets and 2 remote ones
    When the platform is silent for 100 ms
    And all remote targets are found dead
    And 10 SYNs are refused
    Then the balancer stays in the rotation

  Scenario: A data centre that serves most callers keeps them
    Given a balancer with 2 targets and 2 remote ones
    When the platform is silent for 2000 ms
    And all remote targets are found dead
    And 10 flows are opened
    Then the balancer stays in the rotation

  Scenario: A balancer that started in the cut leaves the rotation too
    Given a balancer with 0 targets and 2 remote ones
    When all remote targets are found dead
    And the platform was never heard
    And 10 SYNs are refused
    Then the balancer leaves the rotation

  Scenario: Out of the rotation it waits for the platform
    Given a balancer with 0 targets and 2 remote ones
    When the platform is silent for 2000 ms
    And all remote targets are found dead
    And 10 SYNs are refused
    And 20000 ms pass
    Then the balancer leaves the rotation
