Feature: Balancers among each other

  Scenario: A newcomer waits for the newer template that a peer has
    Given a newcomer that read version 1
    When a peer with version 2 welcomes it
    And time passes
    Then it takes no callers' packets
    When the peer sends it version 2
    And time passes
    Then it serves version 2

  Scenario Outline: A template never goes back
    Given a balancer that serves
    When the platform answers with version <first>, then <second>
    Then version <kept> is in force

    Examples:
      | first | second | kept |
      | 2     | 1      | 2    |
      | 2     | 2      | 2    |
      | 2     | 3      | 3    |

  Scenario: A peer's older template isn't taken
    Given a balancer that serves
    When the platform answers with version 3, then 3
    And a peer sends it version 2
    Then version 3 is in force

  Scenario: A suspected balancer refutes
    Given a balancer that serves
    When a peer spreads that it is suspected
    Then it spreads a higher revision of itself

  Scenario: A peer that is silent is suspected, and cleared by its own word
    Given a balancer that serves
    And a peer that doesn't answer probes
    When the peer has been silent for 3000 ms
    Then the peer is suspected
    When the peer is heard
    Then the peer is alive

  Scenario: A peer that stays silent is declared dead
    Given a balancer that serves
    And a peer that doesn't answer probes
    When the peer has been silent for 9000 ms
    Then the peer is dead

  Scenario: Every balancer picks the same heir, and a lost heir moves only its own
    Given the heirs 11, 12, 13 and 14 of 200 sessions
    Then their order doesn't matter
    And without heir 13 only its sessions move

  Scenario: Timers come when they are due, once and in order
    Given timers due at 900, 100, 500 and 101 ms
    When the time is 499, then 500, then 2000 ms
    Then they come as 100 101, as 500, and as 900

  Scenario: The journal keeps the latest decisions by subject
    Given a journal of 3 entries that got 5 about two subjects
    Then the latest of each are found by a part of their subject

  Scenario: A leaving balancer declines to be an heir
    Given a balancer that serves
    And a peer that doesn't answer probes
    When it is asked to leave, and the peer hands over to it
    Then the peer gets no acknowledgement but the word that it leaves

  Scenario: A leaver drops an heir that leaves itself
    Given a balancer that serves
    And a peer that doesn't answer probes
    And another peer
    When it hands over and the first peer says that it leaves
    Then only the other peer gets the next attempt

  Scenario: An heir that is asked to leave first takes up what it acknowledged
    Given a balancer that serves
    And a peer that doesn't answer probes
    And another peer
    When the peer hands over to it, and it is asked to leave
    Then it hands over to the other peer only once the peer has announced it
