Feature: Targets that don't answer

  Background:
    Given a balancer with 3 targets

  Scenario: A copy of a SYN goes to another target
    When a SYN comes and its copy 200 ms later
    Then the copy goes to another target
    And a trial of the first target is made

  Scenario: A caller that was refused by a target's host gets another target
    When a SYN isn't answered for 8 ms
    And the same caller opens another flow
    Then it goes to another target

  Scenario: A flood of SYNs from one caller keeps nothing for long
    When a caller opens 2000 flows and answers none
    Then at most 8 of them are looked at for its next flow
    When 500 ms pass
    Then no opening is remembered

  Scenario: A port that a caller uses again for another flow
    When a SYN isn't answered for 200 ms
    And the caller opens a flow from the same port again and gets an answer
    And 500 ms pass
    And the same caller opens another flow
    Then it gets a target
    And one opening is remembered

  Scenario: Flows that a caller opens at once all stay in the data centre
    Given a balancer with 2 targets and 2 remote ones
    When a caller opens 40 flows and answers none
    Then no remote target has flows

  Scenario: A SYN that isn't answered soon makes a trial
    When a SYN isn't answered for 100 ms
    Then a trial of the first target is made

  Scenario: A refused trial resets the target's flows and tells the peers
    When a flow is opened
    And its caller repeats a request
    Then a trial of its target is made
    When the trial ends as "refused"
    Then the flow is reset
    And the peers are told that the target is dead
    And 30 new flows go to other targets

  Scenario: A repeated request of a target that just answered others is no evidence
    When two flows are opened to one target
    And the caller of the first repeats a request while the second is answered
    Then no trial is made

  Scenario: An unclear trial changes nothing
    When a flow is opened
    And its caller repeats a request
    And the trial ends as "unclear"
    Then the flow isn't reset
    And nothing is told to the peers

  Scenario: A peer's word keeps new flows away but resets none
    When a flow is opened
    And a peer says that its target is dead
    Then 30 new flows go to other targets
    And the flow isn't reset
    And a trial of its target is made
    When the trial ends as "accepted"
    Then 30 new flows reach its target too

  Scenario: A peer's word lapses
    When a flow is opened
    And a peer says that its target is dead
    And 3000 ms pass
    Then 30 new flows reach its target too

  Scenario: A dead target is tried each second and comes back
    When a flow is opened
    And its caller repeats a request
    And the trial ends as "silent"
    And 1100 ms pass
    Then a trial of its target is made
    When the trial ends as "accepted"
    Then the peers are told that the target is alive
    And 30 new flows reach its target too

  Scenario: A target that ends with flows open is tried at once
    When a flow is opened
    And its target leaves
    And its target is no longer listed
    Then a trial of its target is made

  Scenario: A balancer that no target answers is isolated
    When flows to 2 targets are opened and all their callers repeat requests
    And 1100 ms pass
    And all their callers repeat requests
    Then the balancer holds itself for isolated

  Scenario: A store that forgets leases takes no targets away
    When all targets are no longer listed at once
    Then 30 new flows reach 3 targets
    When 13000 ms pass
    Then a new flow is reset as "no_target"

  Scenario: What is still missing two seconds after the store's return is gone
    When the store comes back from an outage
    And all targets are no longer listed at once
    Then 30 new flows reach 3 targets
    When 2100 ms pass
    Then a new flow is reset as "no_target"

  Scenario: A single lapsed target gets no new flows
    When a flow is opened
    And its target is no longer listed
    Then 30 new flows go to other targets
