Feature: The address of the store may change while a balancer runs

  # Guards against balancers that follow nothing any more after a reload (review/9).
  Scenario: After a reload the store is called at its new address
    Given a balancer that knows targets and a configuration
    And a call to the store is running
    When the settings name another address of the store
    Then the next call goes there
    And the balancer still knows its targets

  Scenario: A reload that leaves the address as it is leaves the call running
    Given a balancer that knows targets and a configuration
    And a call to the store is running
    When the settings change otherwise
    Then the call is still running
