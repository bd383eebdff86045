Feature: Targets that accept requests and don't answer

  Background:
    Given a balancer with 3 targets

  Scenario: A request that waits too long keeps new flows away
    When a flow is opened
    And its caller sends a request and gets no answer for 500 ms
    Then 30 new flows go to other targets
    And the peers are notified that the target is dead
    And the flow isn't reset

  Scenario: Reports of three balancers reset a flow with repeatable requests
    When a flow is opened
    And 2 peers report that callers gave up on its target
    And another caller of its target gives up after 600 ms
    And 100 ms pass
    Then its next request is reset as "target_stuck"

  # Guards against a crowded target that answers and whose callers were taken for proof.
  Scenario: An answer through one balancer refutes that callers gave up
    When a flow is opened
    And 3 peers report that callers gave up on its target after 500 ms
    And a peer reports that it answered 100 ms ago
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: A balancer that has seen an answer refutes that callers gave up
    When a flow is opened
    And its caller sends a request that is answered after 30 ms
    And 100 ms pass
    And 2 peers report that callers gave up on its target after 500 ms
    Then the peers are notified that the target answers
    When 1 peers report that callers gave up on its target after 500 ms
    And 200 ms pass
    Then its packets still go to that target

  Scenario: Callers that gave up on later requests than the last answer are believed
    When a flow is opened
    And a peer reports that it answered 700 ms ago
    And 3 peers report that callers gave up on its target after 500 ms
    And 100 ms pass
    Then its next request is reset as "target_stuck"

  Scenario: Callers that gave up reset no flow before others can refute them
    When a flow is opened
    And 3 peers report that callers gave up on its target after 500 ms
    And 50 ms pass
    Then the flow isn't reset

  Scenario: A caller that gives up while others get answers isn't reported
    When a flow is opened
    And its caller sends a request and gets no answer for 400 ms
    And a peer reports that it answers
    And earlier effects are ignored
    And its caller gives up
    Then the peers get no verdict

  Scenario: Reports of two balancers reset no flow
    When a flow is opened
    And 2 peers report that callers gave up on its target
    Then its packets still go to that target

  Scenario: A flow with requests that mustn't be repeated isn't reset
    Given requests mustn't be repeated
    When a flow is opened
    And 3 peers report that callers gave up on its target
    Then its packets still go to that target

  Scenario: Overdue reports reset no flow before others can refute them
    When a flow is opened
    And 5 peers report that its target is stuck
    Then its packets still go to that target
    And 30 new flows go to other targets

  Scenario: Unrefuted overdue reports of three balancers reset the flow
    When a flow is opened
    And 3 peers report that its target is stuck
    And 200 ms pass
    Then the open flow is reset

  Scenario: Overdue reports of two balancers reset no flow
    When a flow is opened
    And 2 peers report that its target is stuck
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: An answer through one balancer refutes all overdue reports
    When a flow is opened
    And 3 peers report that its target is stuck
    And a peer reports that it answers
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: A balancer that has just seen an answer refutes overdue reports
    When a flow is opened
    And its caller sends a request that is answered after 30 ms
    And 3 peers report that its target is stuck
    Then the peers are notified that the target answers
    When 200 ms pass
    Then its packets still go to that target

  Scenario: An overdue request is reported once, whatever others answer
    When a flow is opened
    And its caller sends a request and gets no answer for 400 ms
    And a peer reports that it answers
    And earlier effects are ignored
    And 400 ms pass
    Then the peers get no verdict

  Scenario: An answer before a request doesn't refute its overdue report
    When a flow is opened
    And its caller sends a request and gets no answer for 100 ms
    And a peer reports that it answered 200 ms ago
    And 400 ms pass
    Then the peers are notified that the target is dead

  Scenario: A single overdue report isn't refuted
    When a flow is opened
    And its caller sends a request that is answered after 30 ms
    And 1 peers report that its target is stuck
    Then the peers get no verdict

  Scenario: An answer after overdue reports is sent to the peers
    When a flow is opened
    And its caller sends a request and gets no answer for 100 ms
    And 2 peers report that its target is stuck
    And its caller gets the answer
    Then the peers are notified that the target answers

  Scenario: An answer from before the overdue requests refutes nothing
    When a flow is opened
    And its caller sends a request that is answered after 30 ms
    And 450 ms pass
    And 3 peers report that its target is stuck
    And 200 ms pass
    Then the open flow is reset

  Scenario: A flow with a pending command is kept and an idle one is reset
    Given requests mustn't be repeated
    When two flows are opened to one target
    And the first has a pending request and the second was answered before
    And 3 peers report that its target is stuck
    And 200 ms pass
    Then only the second flow is reset

  Scenario: A flow whose answers weren't seen here is kept, as a command may be pending
    Given requests mustn't be repeated
    When a flow is opened
    And 3 peers report that its target is stuck
    And 200 ms pass
    Then the flow isn't reset

  Scenario: No flow is reset if most targets of a service seem stuck
    When a flow is opened
    And 3 peers report 2 targets as stuck, its own among them
    And 200 ms pass
    Then its packets still go to that target
    And the flow isn't reset

  Scenario: Routers rehash all flows while requests are pending
    Given 5 balancers that share 4 targets
    When callers of 3 balancers send requests to the same target
    And routers rehash all flows
    And every request is answered
    And 700 ms pass at all balancers
    Then no balancer resets a flow

  Scenario: No target is suspected after flows were rehashed
    Given 5 balancers that share 4 targets
    When callers of 3 balancers send requests to the same target
    And routers rehash all flows
    And the request of one of them is answered
    And 700 ms pass at all balancers
    Then no balancer suspects a target

  Scenario: Idle flows that were rehashed hide no hanging target
    Given 5 balancers that share 4 targets
    When callers of 3 balancers send requests to the same target
    And routers rehash all flows
    And an idle flow sends a request to another target through a new balancer
    And 700 ms pass at all balancers
    Then all balancers reset its flows

  Scenario: The flows of a hanging target are reset at all balancers
    Given 5 balancers that share 4 targets
    When callers of 3 balancers send requests to the same target
    And 700 ms pass at all balancers
    Then all balancers reset its flows

  Scenario: A balancer that was paused suspects no target
    When a flow is opened
    And its caller sends a request
    And the process is paused for 3000 ms
    And 100 ms pass
    Then 30 new flows reach its target too

  Scenario: A caller that ends its flow after the answer is no evidence
    When a flow is opened
    And 2 peers report that callers gave up on its target
    And another caller of its target ends after its answer
    Then its packets still go to that target

  # Guards against flows that move here one after the other and hide a hanging target.
  Scenario: A caller that retransmits here shows a hanging target while flows move
    When a flow is opened
    And its caller retransmits a request for 700 ms while flows of others move here
    Then the peers are notified that the target is dead

  Scenario: A request whose caller is answered elsewhere isn't overdue while flows move
    When a flow is opened
    And its caller sends a request while flows of others move here for 700 ms
    Then the peers get no verdict

  Scenario: A retransmission that waited for a paused process shows nothing
    When a flow is opened
    And its caller sends a request while flows of others move here for 100 ms
    And the process is paused for 400 ms
    And 100 ms pass
    And its caller retransmits the request
    And 100 ms pass
    Then the peers get no verdict

  Scenario: Rehashed flows are no evidence of a stuck target
    When a flow is opened
    And its caller sends a request and gets no answer for 100 ms
    And a flow of another balancer is rehashed to this one
    And 500 ms pass
    Then 30 new flows reach its target too

  Scenario: A balancer out of the rotation suspects no target
    When a flow is opened
    And the balancer is out of the rotation
    And its caller sends a request and gets no answer for 500 ms
    Then 30 new flows reach its target too

  Scenario: A target that answers other requests isn't suspected
    When two flows are opened to one target
    And the first request waits 500 ms while the second is answered
    Then 30 new flows reach the first target too

  Scenario: An answer clears the suspicion
    When a flow is opened
    And its caller sends a request and gets no answer for 500 ms
    And its caller gets the answer
    Then 30 new flows reach its target too

  Scenario: A suspicion expires
    When a flow is opened
    And 1 peers report that its target is stuck
    And 4500 ms pass
    Then 30 new flows reach its target too

  Scenario: Callers are served even if all targets are suspected
    When every target is reported as stuck
    Then 30 new flows reach 3 targets

  Scenario: Reports on unknown targets expire
    When peers report 500 unknown targets both as stuck and as answering
    And 5000 ms pass
    Then no state of any target is kept
