Feature: Coordination between balancers

  Scenario: A joining balancer waits for a peer's newer template
    Given a joining balancer that read version 1
    When a peer with version 2 welcomes it
    And time passes
    Then it takes no callers' packets
    When the peer sends it version 2
    And time passes
    Then it serves version 2

  Scenario: A joining balancer that an old list shows alone waits for members
    Given a joining balancer that read version 1
    When the platform lists it alone
    And time passes
    Then it takes no callers' packets
    When the time to wait for members has passed
    Then it serves version 1

  Scenario Outline: A template version never goes back
    Given a balancer that serves
    When the platform answers with version <first>, then <second>
    Then version <kept> is in force

    Examples:
      | first | second | kept |
      | 2     | 1      | 2    |
      | 2     | 2      | 2    |
      | 2     | 3      | 3    |

  Scenario: A peer's older template is ignored
    Given a balancer that serves
    When the platform answers with version 3, then 3
    And a peer sends it version 2
    Then version 3 is in force

  Scenario: A member's other document under the version in force is reported
    Given a balancer that serves
    And a peer that doesn't answer probes
    When the peer announces another document as version 1
    Then an error names version 1
    And the document in force stays

  Scenario: A member's copy of the document in force isn't reported
    Given a balancer that serves
    And a peer that doesn't answer probes
    When the peer announces the same document as version 1
    Then no error is logged

  Scenario: A template queued before a pause is put in force but doesn't refresh the view
    Given a balancer that serves
    When version 2 is read before a pause and handled after it
    Then version 2 is in force
    And its view isn't refreshed

  Scenario: A template queued before the first step isn't lost
    Given a balancer that hasn't made a step
    When version 2, queued before, is handled in its first step
    Then version 2 is in force

  Scenario: A rejection queued before a pause is logged
    Given a balancer that serves
    When a document is rejected before a pause and handled after it
    Then an error names version 2

  Scenario: A suspicion doesn't take back what a member said of itself
    Given a balancer that serves
    And a peer that sent version 2 and pause count 3
    When another peer suspects it, from its record with version 1 and pause count 2
    Then the peer is suspected
    And its record has version 2 and pause count 3

  Scenario: A suspected member's own probe brings its version and pause count
    Given a balancer that serves
    And another peer that suspects the peer, from its record with version 1 and pause count 2
    When the peer sends version 2 and pause count 3
    Then the peer is alive
    And its record has version 2 and pause count 3

  Scenario: A joining balancer waits for the newer template of a peer that was suspected
    Given a joining balancer that read version 1
    And another peer that suspects the peer, from its record with version 1 and pause count 0
    When the other peer welcomes it with version 1
    And the peer sends version 2 and pause count 0
    And time passes
    Then it takes no callers' packets

  Scenario: A late probe of a member doesn't take back its version
    Given a balancer that serves
    And a peer that sent version 2 and pause count 3
    When another peer suspects it, from its record with version 1 and pause count 2
    And the peer sends version 1 and pause count 2
    Then its record has version 2 and pause count 3

  Scenario: A suspected balancer refutes the suspicion
    Given a balancer that serves
    When a peer's probe says that it is suspected
    Then it answers with a higher revision of itself

  Scenario: An unresponsive peer is suspected until it sends a message
    Given a balancer that serves
    And a peer that doesn't answer probes
    When the peer has been unresponsive for 3000 ms
    Then the peer is suspected
    When the peer sends a probe
    Then the peer is alive

  Scenario: A peer that stays unresponsive is declared dead
    Given a balancer that serves
    And a peer that doesn't answer probes
    When the peer has been unresponsive for 9000 ms
    Then the peer is dead

  Scenario: All balancers pick the same successor, and a lost one moves only its own
    Given the successors 11, 12, 13 and 14 of 200 sessions
    Then their order doesn't matter
    And without successor 13 only its sessions move

  Scenario: Timers are returned when due, once and in order
    Given timers due at 900, 100, 500 and 101 ms
    When the time is 499, then 500, then 2000 ms
    Then they are returned as 100 101, as 500, and as 900

  Scenario: The decision log keeps the latest decisions by subject
    Given a decision log of 3 entries that got 5 about two subjects
    Then the latest of each are found by a part of their subject

  Scenario: A leaving balancer declines a handover
    Given a balancer that serves
    And a peer that doesn't answer probes
    When it is told to leave, and the peer hands over to it
    Then the peer gets no acknowledgement but a probe that says it is leaving

  Scenario: A leaving balancer drops a successor that is leaving too
    Given a balancer that serves
    And a peer that doesn't answer probes
    And another peer
    When it hands over and the first peer announces its own leave
    Then only the other peer gets the next attempt

  Scenario: A successor told to leave first accepts what it acknowledged
    Given a balancer that serves
    And a peer that doesn't answer probes
    And another peer
    When the peer hands over to it, and it is told to leave
    Then it hands over to the other peer only once the peer has announced it
