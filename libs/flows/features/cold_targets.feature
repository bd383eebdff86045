Feature: Targets that warm up get only what they bear

  A target that warms up bears 12 requests a second. The settings allow 1.5 times as many
  and 5 more, so 23 in any second over all balancers.

  Scenario Outline: All balancers together keep within what a cold target bears
    Given <count> balancers in 3 data centres that share a cold target
    When callers reach all balancers for 6000 ms
    Then the target gets 10 to 11 requests a second at the end
    When a third of the balancers restart
    And callers reach all balancers for 4000 ms
    And the seeds restart
    And callers reach all balancers for 4000 ms
    And all balancers restart
    And callers reach all balancers for 8000 ms
    And a third of the balancers are cut off from the others
    And callers reach all balancers for 40000 ms
    And the cut ends
    And callers reach all balancers for 8000 ms
    Then the target gets 5 to 22 requests a second at the end
    And the target never got more than 23 requests in a second

    Examples:
      | count |
      | 30    |
      | 100   |
      | 300   |

  Scenario: Balancers whose members differ keep within it too
    Given 2 halves of 20 balancers that don't know each other
    When callers reach all of them for 3000 ms
    Then the target gets 10 to 22 requests a second at the end
    And the target never got more than 23 requests in a second

  Scenario: A balancer that has just started leaves cold targets to others
    Given a balancer that has just started, with 1 cold and 1 warm targets
    When 10 flows are opened
    Then the cold target has 0 flows

  Scenario: What a cold target can't take goes to warm ones
    Given a balancer with 1 cold and 1 warm targets
    When 40 flows are opened at once
    Then the cold target has 11 flows
    When 1100 ms pass
    And 40 flows are opened at once
    Then the cold target has 22 flows

  Scenario Outline: A warm target that is slow or full takes what no cold one may take
    Given a balancer that has just started, with 1 cold and 1 warm targets
    When the warm target <pauses>
    And 10 flows are opened at once
    Then 0 of them are reset as "warming_up"
    And the cold target has 0 flows

    Examples:
      | pauses                   |
      | leaves 2 SYNs unanswered |
      | refuses a request        |

  Scenario: Cold targets of another data centre are left to its balancers
    Given a balancer with 1 cold targets elsewhere and 1 warm ones
    When 10 flows are opened
    Then the cold target has 0 flows

  Scenario: Callers are refused at once while all targets are cold and have enough
    Given a balancer with 2 cold and 0 warm targets
    When 40 flows are opened at once
    Then 18 of them are reset as "warming_up"

  Scenario: A copy of a SYN counts, and is dropped if the target has enough
    Given a balancer with 1 cold and 0 warm targets
    When a SYN and 20 copies of it arrive at once
    Then 11 of them are forwarded and 10 are dropped as "warming_up"

  Scenario Outline: Callers are served where nothing is stated on cold targets
    Given a balancer with 2 cold and 0 warm targets
    And <nothing is stated>
    When 40 flows are opened at once
    Then 0 of them are reset as "warming_up"

    Examples:
      | nothing is stated                  |
      | the settings state no bound        |
      | the service states a rate of 0     |
      | the service isn't described        |

  Scenario: A service that states a rate of 0 uses its cold targets last
    Given a balancer with 1 cold and 1 warm targets
    And the service states a rate of 0
    When 40 flows are opened at once
    Then the cold target has 2 flows

  Scenario: A warm-up ends by the balancer's clock
    Given a balancer with 1 cold and 1 warm targets
    When 1900 ms pass
    Then the target warms up
    When 200 ms pass
    Then the target is warm

  Scenario: What a peer has counted down isn't counted again
    Given a balancer with 0 cold and 1 warm targets
    When a peer's copy lists a target with 500 ms left of 2000
    Then the target warms up
    When 600 ms pass
    Then the target is warm

  Scenario: A target that was delisted and returns with the same entry isn't cold anew
    Given a balancer with 1 cold and 1 warm targets
    When 1500 ms pass
    And the cold target is delisted and listed again
    And 600 ms pass
    Then the target is warm

  Scenario: A target that was warm and says that it is cold is cold
    Given a balancer with 1 cold and 1 warm targets
    When 3000 ms pass
    And the target's entry says 0 ms and later 2000 ms
    Then the target warms up

  Scenario: An entry that arrives late is bounded by the target's start
    Given a balancer with 0 cold and 1 warm targets
    And the service's targets warm up for 30000 ms
    When a target that started 28000 ms ago is listed with 30000 ms left
    Then the target warms up
    When 5100 ms pass
    Then the target is warm

  Scenario: A target that started long ago is as cold as its entry says
    Given a balancer with 0 cold and 1 warm targets
    When a target that started 600000 ms ago is listed with 2000 ms left
    And 1900 ms pass
    Then the target warms up

  Scenario: A target that refused connections is cold when it is alive again
    Given a balancer with 0 cold and 2 warm targets
    When a target refuses a probe and accepts the next
    Then the target warms up
    When 2100 ms pass
    Then the target is warm

  Scenario: Targets of a data centre that was emptied are cold before their entries say so
    Given a balancer with 0 cold and 2 warm targets
    When "tifton" is emptied
    And 60000 ms pass
    And "tifton" is no longer emptied
    Then the target warms up
    When 2100 ms pass
    Then the target is warm

  # Guards against a return that is known before all targets are.
  Scenario: A target that is listed after its data centre returned is cold, too
    Given a balancer with 0 cold and 2 warm targets
    When "tifton" is emptied
    And 1000 ms pass
    And "tifton" is no longer emptied
    And a target that started 60000 ms ago is listed with 0 ms left
    Then the target warms up
    When 2100 ms pass
    Then the target is warm

  Scenario: A target that started after its data centre returned is as its entry says
    Given a balancer with 0 cold and 2 warm targets
    And the service's targets warm up for 30000 ms
    When "tifton" is emptied
    And 1000 ms pass
    And "tifton" is no longer emptied
    And 10000 ms pass
    And a target that started 1000 ms ago is listed with 0 ms left
    Then the target is warm

  Scenario Outline: Targets that are listed after their data centre returned
    Given a balancer with 0 cold and 1 warm targets
    And the service's targets warm up for 30000 ms
    When "tifton" is emptied
    And 1000 ms pass
    And "tifton" is no longer emptied
    And <later> ms pass
    And a target that started 28000 ms ago is listed with 28000 ms left
    And 5100 ms pass
    Then the target <state>

    Examples: It started before, and the return may have made it cold anew
      | later | state    |
      | 5000  | warms up |
      | 27000 | warms up |

    Examples: It started after that
      | later | state   |
      | 40000 | is warm |

  Scenario Outline: A route's flows stay in its regions
    Given a balancer with 2 targets and 2 remote ones
    And the local data centre is in <local> and the remote one in <remote>
    And the route allows only south-ga
    When 10 SYNs arrive
    Then <outcome>

    Examples:
      | local    | remote   | outcome                 |
      | south-ga | north-ga | all go to local targets |
      | north-ga | south-ga | all go to remote ones   |
      | north-ga | unknown  | all are refused         |
