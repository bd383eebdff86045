Feature: Targets that take requests and answer none

  Background:
    Given a balancer with 3 targets

  Scenario: A request that waits too long keeps new flows away
    When a flow is opened
    And its caller asks and gets no answer for 500 ms
    Then 30 new flows go to other targets
    And the peers are told that the target is dead
    And the flow isn't reset

  Scenario: Several witnesses give requests that may be repeated back
    When a flow is opened
    And 2 peers say that callers gave up on its target
    And another caller of its target gives up after 600 ms
    Then its next request is reset as "target_stuck"

  Scenario: Two witnesses aren't enough
    When a flow is opened
    And 2 peers say that callers gave up on its target
    Then its packets still go to that target

  Scenario: A request that mustn't be repeated is left alone
    Given requests mustn't be repeated
    When a flow is opened
    And 3 peers say that callers gave up on its target
    Then its packets still go to that target

  Scenario: Peers that are only waiting prove nothing before others can object
    When a flow is opened
    And 5 peers say that its target is stuck
    Then its packets still go to that target
    And 30 new flows go to other targets

  Scenario: Callers of three balancers wait and nobody objects
    When a flow is opened
    And 3 peers say that its target is stuck
    And 200 ms pass
    Then the open flow is given back

  Scenario: Two balancers that wait aren't enough
    When a flow is opened
    And 2 peers say that its target is stuck
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: A balancer that has seen an answer refutes all who wait
    When a flow is opened
    And 3 peers say that its target is stuck
    And a peer says that it answers
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: This balancer objects when it has just seen an answer
    When a flow is opened
    And its caller asks and is answered after 30 ms
    And 3 peers say that its target is stuck
    Then the peers are told that the target answers
    When 200 ms pass
    Then its packets still go to that target

  Scenario: A request is told of once, whatever others answer
    When a flow is opened
    And its caller asks and gets no answer for 400 ms
    And a peer says that it answers
    And the effects so far are forgotten
    And 400 ms pass
    Then the peers are told nothing

  Scenario: A target that answered before a request is waited for all the same
    When a flow is opened
    And its caller asks and gets no answer for 100 ms
    And a peer says that it answered 200 ms ago
    And 400 ms pass
    Then the peers are told that the target is dead

  Scenario: Nobody objects while a single balancer waits
    When a flow is opened
    And its caller asks and is answered after 30 ms
    And 1 peers say that its target is stuck
    Then the peers are told nothing

  Scenario: An answer that comes while others wait is told to them
    When a flow is opened
    And its caller asks and gets no answer for 100 ms
    And 2 peers say that its target is stuck
    And its caller gets the answer
    Then the peers are told that the target answers

  Scenario: An answer from before the requests that wait refutes nothing
    When a flow is opened
    And its caller asks and is answered after 30 ms
    And 450 ms pass
    And 3 peers say that its target is stuck
    And 200 ms pass
    Then the open flow is given back

  Scenario: A waiting command stays with its target, an idle flow for commands doesn't
    Given requests mustn't be repeated
    When two flows are opened to one target
    And the first waits while the second was answered before
    And 3 peers say that its target is stuck
    And 200 ms pass
    Then only the second flow is given back

  Scenario: A flow whose answers weren't seen here may have a command at its target
    Given requests mustn't be repeated
    When a flow is opened
    And 3 peers say that its target is stuck
    And 200 ms pass
    Then the flow isn't reset

  Scenario: Where most of a service seems stuck the trouble may be here
    When a flow is opened
    And 3 peers say of 2 targets, its own among them, that they are stuck
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: Routers deal all flows anew while requests are at a target
    Given 5 balancers that share 4 targets
    When callers of 3 balancers ask the same target
    And routers deal all flows anew
    And every request is answered
    And 700 ms pass at all balancers
    Then no balancer resets a flow

  Scenario: Nobody suspects a target after the flows were dealt anew
    Given 5 balancers that share 4 targets
    When callers of 3 balancers ask the same target
    And routers deal all flows anew
    And the request of one of them is answered
    And 700 ms pass at all balancers
    Then no balancer holds a target for stuck

  Scenario: Flows that were idle when they were dealt anew hide no target that hangs
    Given 5 balancers that share 4 targets
    When callers of 3 balancers ask the same target
    And routers deal all flows anew
    And an idle flow asks another target through a balancer that doesn't know it
    And 700 ms pass at all balancers
    Then all balancers give its flows back

  Scenario: The same with a target that hangs
    Given 5 balancers that share 4 targets
    When callers of 3 balancers ask the same target
    And 700 ms pass at all balancers
    Then all balancers give its flows back

  Scenario: A balancer that stood still suspects nobody
    When a flow is opened
    And its caller asks
    And the process stands still for 3000 ms
    And 100 ms pass
    Then 30 new flows reach its target too

  Scenario: A caller that gives up with its answer in hand proves nothing
    When a flow is opened
    And 2 peers say that callers gave up on its target
    And another caller of its target ends after its answer
    Then its packets still go to that target

  Scenario: Flows that routers deal anew prove nothing
    When a flow is opened
    And its caller asks and gets no answer for 100 ms
    And a flow of another balancer arrives here
    And 500 ms pass
    Then 30 new flows reach its target too

  Scenario: A balancer that leaves the rotation suspects nobody
    When a flow is opened
    And the balancer is out of the rotation
    And its caller asks and gets no answer for 500 ms
    Then 30 new flows reach its target too

  Scenario: A target that answers others isn't stuck
    When two flows are opened to one target
    And the first waits 500 ms while the second is answered
    Then 30 new flows reach the first target too

  Scenario: An answer ends the suspicion
    When a flow is opened
    And its caller asks and gets no answer for 500 ms
    And its caller gets the answer
    Then 30 new flows reach its target too

  Scenario: Suspicion lapses
    When a flow is opened
    And 1 peers say that its target is stuck
    And 4500 ms pass
    Then 30 new flows reach its target too

  Scenario: Where all are stuck the callers aren't refused
    When every target is said to be stuck
    Then 30 new flows reach 3 targets

  Scenario: What peers say of targets that nobody knows is forgotten
    When peers say of 500 unknown targets that they are stuck, and that they answer
    And 5000 ms pass
    Then nothing is remembered of any target
