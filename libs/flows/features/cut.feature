Feature: A data centre that is cut off

  Scenario: A cut-off balancer that can't serve callers leaves the rotation
    Given a balancer with 0 targets and 2 remote ones
    When the platform doesn't answer for 2000 ms
    And all remote targets are found dead
    And 10 SYNs are refused
    Then the balancer leaves the rotation
    When the platform answers again
    Then the balancer is back in the rotation

  Scenario: A balancer that reaches the platform stays in the rotation
    Given a balancer with 0 targets and 2 remote ones
    When the platform doesn't answer for 100 ms
    And all remote targets are found dead
    And 10 SYNs are refused
    Then the balancer stays in the rotation

  Scenario: A balancer whose targets may be old stays in the rotation
    Given a balancer with 0 targets and 2 remote ones
    When the platform has answered, and the targets may be old
    And all remote targets are found dead
    And 10 SYNs are refused
    Then the balancer stays in the rotation

  Scenario: A cut-off balancer that serves most callers stays in the rotation
    Given a balancer with 2 targets and 2 remote ones
    When the platform doesn't answer for 2000 ms
    And all remote targets are found dead
    And 10 flows are opened
    Then the balancer stays in the rotation

  Scenario: A balancer that started while cut off leaves the rotation
    Given a balancer with 0 targets and 2 remote ones
    When all remote targets are found dead
    And the platform never answered
    And 10 SYNs are refused
    Then the balancer leaves the rotation

  Scenario: A balancer out of the rotation waits for the platform
    Given a balancer with 0 targets and 2 remote ones
    When the platform doesn't answer for 2000 ms
    And all remote targets are found dead
    And 10 SYNs are refused
    And 20000 ms pass
    Then the balancer leaves the rotation
