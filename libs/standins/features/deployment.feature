Feature: A deployment of separate processes

  Scenario: A deployment ends on an interrupt that its parent ignores
    Given stand-ins that were started with interrupts ignored
    When they are interrupted once they serve
    Then they end with status 0 and leave no process

  Scenario: Stand-ins are started, changed and ended
    Given a deployment of one small tenant without balancers
    Then its report names every process and its entry address
    And the platform serves the template that was published
    When the target "pivot-link-2" of "pivot-link" is drained
    Then the platform serves version 2 with that target leaving
    When "pivot-link-1" is set to work for 1 ms
    Then "pivot-link-1" answers the command "c9" and has it in its ledger
    When every process is frozen and the deployment is stopped
    Then each process has ended by itself
