Feature: An unexpected error doesn't end a balancer

  Scenario: The core goes on with the next event
    Given a balancer whose core gets an event that it can't handle
    When the balancer runs for 1 s
    Then it still runs and answers an operator
    And the error is counted and logged once with its place

  Scenario: Repeated errors are logged once a second at most
    Given a balancer whose core gets 40 events that it can't handle
    When the balancer runs for 1 s
    Then it still runs and answers an operator
    And the 40 errors are counted, and at most 2 are logged

  Scenario: A balancer with a task that does nothing but fail ends
    Given a balancer whose metrics always fail
    Then it ends with that error within 5 s
