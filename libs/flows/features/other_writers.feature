Feature: An entry that names no target proves nothing

  Background:
    Given a balancer with 3 targets

  # Guards against an entry of another writer that ended the flows of a live target.
  Scenario: An entry of a service that nothing names ends no target
    When a flow is opened
    And an entry of the service "print-spooler" is listed at its target's address
    Then the flow isn't reset
    And its packets still go to that target
    And 30 new flows reach its target too
    And the entry is logged as unused since "service_not_named"

  # Guards against a balancer that gets the entry before the configuration.
  Scenario: A service that a later configuration names counts from then on
    When a flow is opened
    And an entry of the service "print-spooler" is listed at its target's address
    Then no flow has been reset yet
    When a configuration that names "print-spooler" is in force
    Then the flow is reset
    And 30 new flows go to other targets

  # Guards against a target that stayed ended after the entry was gone.
  Scenario: An entry that is gone proves nothing any more
    When a flow is opened
    And an entry of the service "usage-ledger" is listed at its target's address
    Then the flow is reset
    And 30 new flows go to other targets
    When that entry is gone
    Then 30 new flows reach its target too

  Scenario: The order of a first listing doesn't matter
    When a target and an earlier one at its address are listed in any order
    Then only the earlier one has ended

  # Guards against packets that were sent to the address of another entry.
  Scenario Outline: An entry with the id of another one doesn't replace it
    When a flow is opened
    And an entry of the service "<service>" with its target's id and another address is listed
    Then its packets still go to its target's address
    And 30 new flows reach its target too
    When that entry is gone
    And 61000 ms pass
    Then its packets still go to its target's address

    Examples:
      | service       |
      | print-spooler |
      | usage-ledger  |
      | pivot-link    |

  # Guards against a warm target that got few flows since another entry told otherwise.
  Scenario Outline: An entry with the id of another one doesn't tell its warm-up
    When a flow is opened
    And an entry with its target's id tells a warm-up of 20000 ms, under <key>
    Then its target isn't warming up

    Examples:
      | key           |
      | another key   |
      | the same key  |

  Scenario: The second of two entries with one id is used once the first is gone
    When a flow is opened
    And an entry of the service "pivot-link" with its target's id and another address is listed
    Then the entry is logged as unused since "id_in_use"
    When its target is delisted
    Then its packets go to the other address

  # Guards against a target's own entry that another writer has replaced.
  Scenario: A target whose own entry names no target any more keeps its flows
    When a flow is opened
    And another writer replaces its target's entry by one of "print-spooler" elsewhere
    Then its packets still go to its target's address
    And 30 new flows go to other targets
    When its target writes its entry again
    Then 30 new flows reach its target too

  # Guards against probes whose control is an entry that names no target.
  Scenario: An entry of a service that nothing names is no control of a probe
    Given a balancer with 1 targets
    When a flow is opened
    And an entry of the service "print-spooler" is listed at an address of its own
    Then its target has no control target
    And the balancer knows no data centre but those of its targets

  Scenario: A flow to a target of a service that isn't named yet goes on
    When an entry of the service "print-spooler" is listed at an address of its own
    And a packet of a flow to it arrives that another balancer opened
    Then it is forwarded to the flow's target
    When that entry is gone
    Then its next packet is forwarded to the flow's target
    When 61000 ms pass
    Then its next packet is dropped as unknown

  Scenario: The targets of a service that a configuration drops keep their flows
    When a flow is opened
    And a configuration that names only "print-spooler" on its route is in force
    Then its packets still go to that target
    And a new flow is reset as "no_target"
    When 61000 ms pass
    Then its packets still go to that target
    When configuration 30 is in force
    Then 30 new flows reach its target too
