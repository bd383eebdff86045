Feature: A flow reaches its target from any balancer

  Background:
    Given a balancer with 3 targets

  Scenario: A later packet goes where its cookie says
    When a flow is opened
    Then another balancer that never saw it sends its packets to the same target

  Scenario: A target that restarts under its id gets a new cookie
    When a flow is opened
    And its target starts again under the same id
    Then the cookie of the new incarnation differs

  Scenario: A target whose address is reused has ended
    When a flow is opened
    And another service's target is listed at its target's address
    Then the flow is reset
    And 30 new flows go to other targets
    When the probe ends as "accepted"
    Then 30 new flows go to other targets

  Scenario: An older target's entry doesn't end the one at its address
    When a flow is opened
    And an older target is listed at its target's address
    Then the flow isn't reset

  Scenario: A leaving target keeps its flows and gets no new ones
    When a flow is opened
    And its target leaves
    Then its packets still go to that target
    And 30 new flows go to other targets

  Scenario: A target that is no longer listed keeps its flows
    When a flow is opened
    And its target is delisted
    Then its packets still go to that target

  Scenario: A packet with an unknown cookie is dropped first and reset later
    When a packet with an unknown cookie arrives
    Then it is dropped as "unknown_cookie"
    When 2000 ms pass and the view is confirmed
    And the packet with an unknown cookie is repeated
    Then it is reset as "target_gone"

  Scenario: A flow with an unknown cookie isn't reset before the members could reply
    When a packet with an unknown cookie arrives
    And 2000 ms pass and the view is confirmed
    And a packet with an unknown cookie arrives
    Then it is dropped as "holder_unknown"
    When 149 ms pass
    And the packet with an unknown cookie is repeated
    Then it is dropped as "holder_unknown"
    When 1 ms pass
    And the packet with an unknown cookie is repeated
    Then it is reset as "target_gone"

  Scenario: A flow with an unknown cookie isn't reset while the view is old
    When a packet with an unknown cookie arrives
    And 60000 ms pass
    And a packet with an unknown cookie arrives
    Then it is dropped as "unknown_cookie"

  Scenario: A SYN to an unknown route is reset
    When a SYN to an unknown route arrives
    Then it is reset as "no_route"

  Scenario: Flows of a removed route are reset
    When a flow is opened
    And 1500 ms pass
    And a configuration without its route is in force
    Then its next packet is reset as "route_removed"

  Scenario: A configuration that may be old ends no open flow
    When a flow is opened
    And 1500 ms pass
    And a configuration without its route is in force that may be old
    Then its next packet is forwarded to the flow's target
    When the configuration is confirmed
    Then its next packet is reset as "route_removed"

  # Guards against routes that aren't known here yet and were taken for removed ones.
  Scenario: A flow on a route that isn't known here yet stays open
    Given a configuration without the route is in force and was confirmed just now
    When a packet of a flow arrives that another balancer opened
    Then it is forwarded to the flow's target
    And its next packet is forwarded to the flow's target
    When 600 ms pass
    And a configuration with the route is in force
    And 3000 ms pass and the configuration is confirmed
    Then its next packet is forwarded to the flow's target

  # Guards against a route that was added again and was taken for the one before.
  Scenario: A flow on a route that was removed and added again stays open
    When a configuration without its route is in force
    And 5000 ms pass and the configuration is confirmed
    And a packet of a flow arrives that another balancer opened
    Then it is forwarded to the flow's target
    And its next packet is forwarded to the flow's target

  Scenario: A flow of a removed route is reset though it comes from another balancer
    Given a configuration without the route is in force and was confirmed just now
    When a packet of a flow arrives that another balancer opened
    Then it is forwarded to the flow's target
    When 1400 ms pass and the configuration is confirmed
    Then its next packet is forwarded to the flow's target
    When 100 ms pass and the configuration is confirmed
    Then its next packet is reset as "route_removed"

  Scenario: A balancer without a configuration ends no open flow
    Given a balancer that knows targets and no configuration
    When a packet of a flow arrives that another balancer opened
    Then it is forwarded to the flow's target

  Scenario: An older configuration is ignored
    When configuration 5 is in force
    And configuration 4 arrives
    Then configuration 5 is still in force

  Scenario Outline: Packets that belong to no flow are dropped
    When a caller sends <packet>
    Then it is dropped as "<reason>"

    Examples:
      | packet                    | reason           |
      | a SYN with ACK            | forged_handshake |
      | data without a cookie     | no_cookie        |
      | a reset of an unknown flow | no_cookie        |

  Scenario: Copies of a SYN that were queued together go to one target
    When a SYN and its copy arrive at the same time
    Then both go to the same target
    And no target is probed

  Scenario Outline: A SYN that was queued for long is dropped as stale
    Given a balancer with 3 targets
    When copy <copy> of a SYN arrives after it waited for <waited> ms
    Then it is <outcome>

    Examples: The SYN itself, until its caller sends the first copy
      | copy | waited | outcome                |
      | 0    | 199    | placed                 |
      | 0    | 200    | dropped as "stale_syn" |
      | 0    | 2000   | dropped as "stale_syn" |

    Examples: A copy, until the next one or the end of the caller's patience
      | copy | waited | outcome                |
      | 1    | 399    | placed                 |
      | 1    | 400    | dropped as "stale_syn" |
      | 2    | 799    | placed                 |
      | 2    | 800    | dropped as "stale_syn" |
      | 9    | 800    | dropped as "stale_syn" |
