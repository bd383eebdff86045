Feature: Exploration of the protocols

  Scenario Outline: No order of messages and faults breaks a promise
    When "<exploration>" is explored
    Then every state is visited and no promise is broken
    And some states show "<outcome>"

    Examples:
      | exploration                              | outcome             |
      | first contact, copies, a rebound address | answered            |
      | first contact, copies, expiry            | told not run        |
      | a crash, a wrong suspicion, expiry       | told unknown        |
      | sheds, expiry                            | told not run        |
      | versions, stale reads                    | versions differ     |
      | a newcomer, stale reads                  | a newcomer serves   |

  Scenario Outline: A deliberate fault of the core is found
    Given the core is mutated: <mutation>
    When "<exploration>" is explored
    Then it finds that <broken>

    Examples:
      | mutation               | exploration                        | broken                                 |
      | repeats run again      | first contact, copies, expiry      | one datagram ran twice                 |
      | lost home told not run | a crash, a wrong suspicion, expiry | told not run, but ran                  |
      | timeout told not run   | sheds, expiry                      | told not run, but ran                  |
      | older template adopted | versions, stale reads              | went from                              |
      | inherited runs forgotten | a leave, copies                  | told not run, but ran                  |
      | newcomers don't ask    | a newcomer, stale reads            | a reachable peer had                   |

  Scenario: A model too large to search is walked at random, alike each time
    When "two heirs, a leave, a crash, a freeze" is walked 10 times for 40 moves
    Then no walk breaks a promise
    And a second round of walks makes as many moves

  Scenario: A walk finds a deliberate fault of the core
    Given the core is mutated: repeats run again
    When "first contact, copies, expiry" is walked 300 times for 30 moves
    Then a walk breaks a promise

  Scenario: What fell to an heir that left at the same time isn't said to be not run
    Given three balancers, and a command that A ran, to fall to B and from B to C
    And a leaving heir that no longer waits for an announcement
    When these moves are made, where they can be
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
    Then no promise is broken on the way
    And a copy of the command is answered: Unknown

  Scenario: A leaving heir waits for what it acknowledged, and answers for it
    Given three balancers, and a command that A ran, to fall to B and from B to C
    When these moves are made, where they can be
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
    Then no promise is broken on the way
    And a copy of the command is answered: Forwarded

  Scenario: An heir takes up its own share after it has heard of the leaver from another
    Given three balancers, and a command that A ran, to fall to C
    When these moves are made, where they can be
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
    Then no promise is broken on the way
    And a copy of the command is answered: Forwarded
