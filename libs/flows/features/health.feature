Feature: Targets that don't answer

  Background:
    Given a balancer with 3 targets

  Scenario: A copy of a SYN goes to another target
    When a SYN arrives and its copy 200 ms later
    Then the copy goes to another target
    And the first target is probed

  Scenario: A caller that was refused by a target's host gets another target
    When a SYN isn't answered for 8 ms
    And the same caller opens another flow
    Then it goes to another target

  Scenario: A flood of SYNs from one caller is bounded and expires
    When a caller opens 2000 flows and answers none
    Then at most 8 of them are checked for its next flow
    When 500 ms pass
    Then no half-open flow is kept

  Scenario: A caller reuses a port for another flow
    When a SYN isn't answered for 200 ms
    And the caller opens a flow from the same port again and gets an answer
    And 500 ms pass
    And the same caller opens another flow
    Then it gets a target
    And one half-open flow is kept

  Scenario: Flows that a caller opens in a burst stay in the data centre
    Given a balancer with 2 targets and 2 remote ones
    When a caller opens 40 flows and answers none
    Then no remote target has flows

  Scenario: A SYN that isn't answered soon triggers a probe
    When a SYN isn't answered for 100 ms
    Then the first target is probed

  Scenario: A refused probe resets the target's flows and notifies the peers
    When a flow is opened
    And its caller repeats a request
    Then its target is probed
    When the probe ends as "refused"
    Then the flow is reset
    And the peers are notified that the target is dead
    And 30 new flows go to other targets

  Scenario: A repeated request of a target that just answered others triggers no probe
    When two flows are opened to one target
    And the caller of the first repeats a request while the second is answered
    Then no target is probed

  Scenario: An unclear probe has no effect
    When a flow is opened
    And its caller repeats a request
    And the probe ends as "unclear"
    Then the flow isn't reset
    And no verdict is sent to the peers

  Scenario: A peer's verdict keeps new flows away and resets none
    When a flow is opened
    And a peer reports that its target is dead
    Then 30 new flows go to other targets
    And the flow isn't reset
    And its target is probed
    When the probe ends as "accepted"
    Then 30 new flows reach its target too

  Scenario: A peer's verdict expires
    When a flow is opened
    And a peer reports that its target is dead
    And 3000 ms pass
    Then 30 new flows reach its target too

  Scenario: A dead target is probed every second and recovers
    When a flow is opened
    And its caller repeats a request
    And the probe ends as "silent"
    And 1100 ms pass
    Then its target is probed
    When the probe ends as "accepted"
    Then the peers are notified that the target is alive
    And 30 new flows reach its target too

  Scenario: A target that is delisted with open flows is probed
    When a flow is opened
    And its target leaves
    And its target is delisted
    Then its target is probed

  Scenario: A balancer that gets no answer from any target is isolated
    When flows to 2 targets are opened and all their callers repeat requests
    And 1100 ms pass
    And all their callers repeat requests
    Then the balancer considers itself isolated

  Scenario: A store that loses leases takes no targets out of service
    When all targets are delisted at once
    Then 30 new flows reach 3 targets
    When 13000 ms pass
    Then a new flow is reset as "no_target"

  Scenario: Targets still missing two seconds after the store's recovery get no new flows
    When the store recovers from an outage
    And all targets are delisted at once
    Then 30 new flows reach 3 targets
    When 2100 ms pass
    Then a new flow is reset as "no_target"

  Scenario: A single delisted target gets no new flows
    When a flow is opened
    And its target is delisted
    Then 30 new flows go to other targets
