Feature: A line whose refresh was answered isn't moved

  Scenario: The refresh is answered at once and no notification follows
    Given 3 balancers that know each other and a service of 3 targets
    And an open line that its target never notifies
    When 20000 ms pass and each registration is answered
    Then the line was refreshed once at its own target
    And no target counts a failure
