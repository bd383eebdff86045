Feature: State space exploration of the protocols

  Scenario Outline: No order of messages and faults breaks a promise
    When "<exploration>" is explored
    Then every state is visited and no promise is broken
    And some states show "<outcome>"

    Examples:
      | exploration                              | outcome           |
      | first contact, copies, a rebound address | answered          |
      | first contact, copies, expiry            | told not run      |
      | a crash, a wrong suspicion, expiry       | told unknown      |
      | sheds, expiry                            | told not run      |
      | versions, stale reads                    | versions differ   |
      | a newcomer, stale reads                  | a newcomer serves |
      | a newcomer, an old list                  | a newcomer serves |
      | reads of the platform, a pause           | template rejected |

  Scenario Outline: The search detects a mutation of the core
    Given the core is mutated: <mutation>
    When "<exploration>" is explored
    Then the search reports: <broken>

    Examples:
      | mutation                  | exploration                        | broken                 |
      | repeats run again         | first contact, copies, expiry      | one datagram ran twice |
      | lost home told not run    | a crash, a wrong suspicion, expiry | told not run, but ran  |
      | timeout told not run      | sheds, expiry                      | told not run, but ran  |
      | older template adopted    | versions, stale reads              | went from              |
      | inherited runs forgotten  | a leave, copies                    | told not run, but ran  |
      | joining members don't ask | a newcomer, stale reads            | a reachable peer had   |
      | templates lost in a pause | reads of the platform, a pause     | stays in force         |

  Scenario Outline: The search detects a mutation of the platform edge
    Given the platform edge is mutated: <mutation>
    When "reads of the platform, a pause" is explored
    Then the search reports: stays in force

    Examples:
      | mutation                           |
      | rejected versions watched for good |
      | the watch outlives an outage       |

  Scenario: Random walks through a model that is too large to search are reproducible
    When "two heirs, a leave, a crash, a freeze" is walked 10 times for 40 moves
    Then no walk breaks a promise
    And the same walks again give the same report

  Scenario: A random walk detects a mutation of the core
    Given the core is mutated: repeats run again
    When "first contact, copies, expiry" is walked 300 times for 30 moves
    Then a walk breaks a promise

  Scenario: A command inherited by a successor that leaves too isn't refused as not run
    Given three balancers, and a command run by A with the successors B and then C
    And a leaving successor that doesn't wait for an announcement
    When these moves are made, where possible
      """
      A is asked to leave
      100 ms pass
      HandoverPart of A -> B
      HandoverPart of A -> C
      HandoverAck of B -> A
      B is asked to leave
      100 ms pass
      HandoverPart of B -> A
      Ping of A -> B
      HandoverAck of A -> B
      100 ms pass
      HandoverPart of B -> C
      HandoverPart of B -> C
      HandoverAck of C -> B
      HandoverAck of C -> B
      HandoverAck of C -> A
      Succession of B -> C
      Succession of A -> C
      datagram 0.1 -> C
      """
    Then no promise is broken in any state
    And a copy of the command is answered: Unknown

  Scenario: A leaving successor waits for a succession that it acknowledged and answers for it
    Given three balancers, and a command run by A with the successors B and then C
    When these moves are made, where possible
      """
      A is asked to leave
      100 ms pass
      HandoverPart of A -> B
      HandoverPart of A -> C
      HandoverAck of B -> A
      B is asked to leave
      100 ms pass
      HandoverAck of C -> A
      Succession of A -> B
      Succession of A -> C
      datagram 0.1 -> C
      Relay of C -> B
      """
    Then no promise is broken in any state
    And a copy of the command is answered: Forwarded

  Scenario: A successor accepts its own share after it learned of the predecessor from another
    Given three balancers, and a command run by A with the successor C
    When these moves are made, where possible
      """
      A is asked to leave
      100 ms pass
      HandoverPart of A -> B
      HandoverPart of A -> C
      HandoverAck of B -> A
      B is asked to leave
      100 ms pass
      HandoverAck of C -> A
      Succession of A -> B
      100 ms pass
      HandoverPart of B -> C
      HandoverPart of B -> C
      HandoverAck of C -> B
      HandoverAck of C -> B
      Succession of B -> C
      Succession of A -> C
      datagram 0.1 -> C
      """
    Then no promise is broken in any state
    And a copy of the command is answered: Forwarded
