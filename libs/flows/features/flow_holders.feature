Feature: A flow stays at the target that its caller acknowledged, at every balancer

  Background:
    Given 3 balancers that share 3 targets

  # Guards against requests that are never answered after a rehash (review/6).
  Scenario: A balancer that sent no SYN itself overrules the target that answered last
    Given two targets answered a flow's SYN and copy at the first balancer
    When the caller sends a request with the other target's cookie to the second balancer
    Then it goes to the flow's target as "cookie_overruled"

  Scenario: A balancer that has just started asks the members
    Given two targets answered a flow's SYN and copy at the first balancer
    And the third balancer has started anew
    When the caller sends a request with the other target's cookie to the third balancer
    Then it waits for the members
    When 50 ms pass at all balancers
    And the request is taken up again
    Then it goes to the flow's target as "cookie_overruled"

  Scenario: What one balancer knew outlasts its kill and the restart of the others
    Given two targets answered a flow's SYN and copy at the first balancer
    And the first balancer was killed
    And the second balancer leaves the rotation and has started anew
    And the third balancer leaves the rotation and has started anew
    When the caller sends a request with the other target's cookie to the second balancer
    Then it goes to the flow's target as "cookie_overruled"

  Scenario: A balancer that nobody helps goes by the cookie, soon
    Given a flow that no balancer knows
    When the caller sends a request with the other target's cookie to the third balancer
    Then it waits for the members
    When 50 ms pass at all balancers
    And the request is taken up again
    Then it goes to the other target as "open_flow"

  Scenario: A flow isn't reset for the end of a target that answered its SYN too
    Given two targets answered a flow's SYN and copy at the first balancer
    And the third balancer has started anew
    And the other target is dead
    When the caller sends a request with the other target's cookie to the third balancer
    Then it waits for the members
    When 50 ms pass at all balancers
    And the request is taken up again
    Then it goes to the flow's target as "cookie_overruled"

  Scenario: Another flow between the same ports goes to its own target
    Given two targets answered a flow's SYN and copy at the first balancer
    When the caller sends a request of another flow with the other target's confirmed cookie to the second balancer
    Then it goes to the other target as "open_flow"

  Scenario: A request that isn't answered is tried at the target that answered too
    Given two targets answered a flow's SYN and copy at the first balancer
    When the caller sends a request with the other target's cookie to the first balancer
    And the caller repeats it 200 ms later
    Then it goes to the other target as "open_flow"
    When the caller repeats it 400 ms later
    Then it goes to the flow's target as "cookie_overruled"

  Scenario: A flow whose SYN no other target can have got tells its cookie as confirmed
    Given a flow that opened within 20 ms at the first balancer
    Then its packets carry the confirmed cookie
    And no other balancer was told of it

  Scenario: A flow that opened after its caller may have sent a copy isn't confirmed
    Given a flow that opened within 200 ms at the first balancer
    Then its packets carry the unconfirmed cookie
    When its caller acknowledges an answer at the first balancer
    Then its packets carry the confirmed cookie

  # Guards against a second target for an open flow (review/7).
  Scenario: A SYN that waited at a balancer is dropped if the flow is open elsewhere
    Given two targets answered a flow's SYN and copy at the first balancer
    When a copy of the flow's SYN arrives at the second balancer
    Then it is dropped there as "stale_syn"

  Scenario: What is known of flows is bounded
    When 3000 holders of flows are told to the first balancer
    Then it keeps 2048 of them
    When 60050 ms pass at all balancers
    Then it keeps 0 of them

  # Guards against links that are full of queries while all balancers restart.
  Scenario Outline: Queries take a bounded part of a link
    Given the first balancer has <members> members and a link of <mbps> Mbit/s
    When packets of 500 unknown flows arrive there within 1 s
    Then it asks for <flows> of them
    And the others go by their cookies at once

    Examples:
      | members | mbps | flows |
      | 10      | 350  | 118   |
      | 100     | 350  | 11    |
      | 100     | 5    | 2     |
