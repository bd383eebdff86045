Feature: Stand-ins of the packet deployment answer as the platform's store does

  Scenario Outline: A client that doesn't read a large response stops nothing else
    Given a store whose response to a range is 16 MB, behind a proxy
    When a client asks <server> for it and doesn't read
    Then the loop runs on and other clients are answered
    And the client gets the whole response once it reads

    Examples:
      | server    |
      | the store |
      | the proxy |

  Scenario Outline: A read that may be old shows a copy of some age and names <revision>
    Given a store to which "first" was written and, 0.4 s later, "second"
    When reads that may be old are 0.2 s behind and name the revision of <revision>
    Then a read that may be old shows "first" and names the revision of <named>
    And any other read shows "second" and names the revision of "second"

    Examples:
      | revision       | named    |
      | their copy     | "first"  |
      | the newest one | "second" |

  Scenario: Each read that may be old draws an age of its own
    Given a store to which "first" was written and, 0.4 s later, "second"
    When reads that may be old are in turn 0.2, 0, 0.3 s behind
    Then reads that may be old show "first, second, first"

  Scenario: A watch from before the store's history gets 410, and none within it
    Given a store that keeps its history for 0.3 s
    When "first" is written and, 0.4 s later, "second"
    Then a watch from before "first" gets 410
    And a watch from "first" gets "second"

  Scenario: Changes within the history are complete, however many
    Given a store that keeps its history for 20 s
    When 1000 items are written
    Then a watch from before them gets 1000 changes

  Scenario: No two processes use the same loopback network at the same time
    Given networks that two processes choose from at the same time
    Then they get different ones
    When one of the processes ends
    Then its network can be reserved again

  Scenario: The network of a deployment that has stopped can be used at once
    Given a packet deployment that has stopped
    When another one is started in its network
    Then its store answers

  Scenario: Time in which the stand-ins stood still isn't part of a timeout
    Given a loop that stands still for 1500 ms and reaches a condition 300 ms later
    When it runs until the condition holds, 1 s at most
    Then the condition holds
    When it runs until another condition holds, 1 s at most
    Then it gave up after 1 s

  Scenario: What arrived while the stand-ins stood still comes before timers
    Given an answer that passes two sockets of a loop, and a timer after 1000 ms
    When the loop stands still for 1500 ms
    Then it has the answer before the timer ends
