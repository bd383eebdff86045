Feature: A flow reaches its target from any balancer

  Background:
    Given a balancer with 3 targets

  Scenario: A later packet goes where its cookie says
    When a flow is opened
    Then another balancer that never saw it sends its packets to the same target

  Scenario: A target started again under its id is another one
    When a flow is opened
    And its target starts again under the same id
    Then the cookie of the new incarnation differs

  Scenario: A target whose address was given to another one has ended
    When a flow is opened
    And another service's target is listed at its target's address
    Then the flow is reset
    And 30 new flows go to other targets
    When the trial ends as "accepted"
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
    And its target is no longer listed
    Then its packets still go to that target

  Scenario: A packet of an unknown target is dropped first and reset later
    When a packet with an unknown cookie comes
    Then it is dropped as "unknown_cookie"
    When 2000 ms pass and the view is confirmed
    And a packet with an unknown cookie comes
    Then it is reset as "target_gone"

  Scenario: No flow of an unknown target is reset while the view is old
    When a packet with an unknown cookie comes
    And 60000 ms pass
    And a packet with an unknown cookie comes
    Then it is dropped as "unknown_cookie"

  Scenario: A route that doesn't exist is refused at once
    When a SYN to an unknown route comes
    Then it is reset as "no_route"

  Scenario: A route that a configuration drops loses its flows
    When a flow is opened
    And a configuration without its route is in force
    Then its next packet is reset as "route_removed"

  Scenario: An older configuration changes nothing
    When configuration 5 is in force
    And configuration 4 arrives
    Then configuration 5 is still in force

  Scenario Outline: What isn't part of a flow does no harm
    When a caller sends <packet>
    Then it is dropped as "<reason>"

    Examples:
      | packet                    | reason           |
      | a SYN with ACK            | forged_handshake |
      | data without a cookie     | no_cookie        |
      | a reset of an unknown flow | no_cookie        |

  Scenario: Copies of a SYN that waited here together go to one target
    When a SYN and its copy come at the same moment
    Then both go to the same target
    And no trial is made

  Scenario Outline: A SYN that waited here while its copies may have gone elsewhere
    Given a balancer with 3 targets
    When a SYN comes that has waited for <waited> ms
    Then it is <outcome>

    Examples:
      | waited | outcome                |
      | 300    | placed                 |
      | 600    | dropped as "stale_syn" |
      | 2000   | dropped as "stale_syn" |
