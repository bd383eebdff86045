Feature: One balancer reads the store for all in its data centre

  Scenario: A settled fleet has one reader and makes few calls
    Given 12 balancers that have run for 5000 ms
    Then 1 balancer reads for the others
    And 10000 ms cost at most 14 calls to the store

  Scenario: Waiting for the operator's first configuration is cheap
    Given 45 balancers that start before there is a configuration
    When 3000 ms pass for the fleet
    And the configuration changes
    And 1500 ms pass for the fleet
    Then every balancer has the configuration
    And all that has cost at most 180 calls to the store

  Scenario Outline: A change of targets reaches everyone within a second
    Given <count> balancers that have run for 5000 ms
    When the targets change
    And 1000 ms pass for the fleet
    Then every balancer knows the targets

    Examples:
      | count |
      | 1     |
      | 12    |
      | 45    |

  Scenario Outline: A configuration reaches everyone within the platform's bound
    Given <count> balancers with <routes> routes that have run for 5000 ms
    When the configuration changes
    And 2500 ms pass for the fleet
    Then every balancer has the configuration

    Examples:
      | count | routes |
      | 12    | 13     |
      | 45    | 45     |
      | 45    | 1600   |

  Scenario: A change right after the reader has died
    Given 12 balancers that have run for 5000 ms
    When the reader dies
    And the targets change
    And the configuration changes
    And 2800 ms pass for the fleet
    Then every balancer knows the targets
    And every balancer has the configuration

  Scenario: A change right after the store stopped answering the reader
    Given 12 balancers that have run for 5000 ms
    When the store stops answering the reader
    And the targets change
    And the configuration changes
    And 2900 ms pass for the fleet
    Then every balancer knows the targets
    And every balancer has the configuration

  Scenario: A lost reader delays a change by a bounded time, whatever the seed
    Then with 60 seeds a lost reader delays a change by 2900 ms at most

  Scenario: The store stops answering a third of the balancers
    Given 12 balancers that have run for 5000 ms
    When the store stops answering 4 balancers
    And 4000 ms pass for the fleet
    And the configuration changes
    And the targets change
    And 2900 ms pass for the fleet
    Then every balancer knows the targets
    And every balancer has the configuration

  Scenario: A change arrives before the one that it continues
    Given a balancer whose targets are those of revision 10
    When part 0 of 1 of reader 3 from 20 for 30 arrives
    And part 0 of 1 of reader 3 for 20 arrives
    Then 3-0, 3-0 are applied
    And its targets are those of revision 30

  Scenario: The parts of two changes arrive mixed
    Given a balancer whose targets are those of revision 10
    When part 0 of 2 of reader 3 for 20 arrives
    And part 0 of 2 of reader 3 from 20 for 30 arrives
    And part 1 of 2 of reader 3 for 20 arrives
    And part 1 of 2 of reader 3 from 20 for 30 arrives
    Then 3-0, 3-1, 3-0, 3-1 are applied
    And its targets are those of revision 30

  Scenario Outline: Parts of a delta are applied only if complete and from one reader
    Given a balancer whose targets are those of revision 10
    When part <first> of 2 of reader <one> for 20 arrives
    And part <second> of 2 of reader <other> for 20 arrives
    Then its targets are those of revision <known>
    And <entries> are applied

    Examples:
      | first | one | second | other | known | entries    |
      | 0     | 1   | 1      | 1     | 20    | 1-0, 1-1   |
      | 1     | 1   | 0      | 1     | 20    | 1-0, 1-1   |
      | 0     | 1   | 1      | 2     | 10    | no entries |
      | 0     | 1   | 0      | 1     | 10    | no entries |

  Scenario: A lost delta is recovered
    Given 12 balancers that have run for 5000 ms
    When the targets change and 3 balancers miss the delta
    And 1500 ms pass for the fleet
    Then every balancer knows the targets

  Scenario: A delta that follows an unread configuration doesn't hide it
    Given 3 balancers that have run for 5000 ms
    When the configuration changes
    And the targets change
    And the reader dies
    And 6000 ms pass for the fleet
    Then every balancer has the configuration

  Scenario: An outage costs few calls and its end is detected at once
    Given 12 balancers that have run for 5000 ms
    When the store answers no balancer
    Then 10000 ms cost at most 60 calls to the store
    When the targets change
    And the store answers every balancer
    And 2000 ms pass for the fleet
    Then every balancer knows the targets
    And 1 balancer reads for the others

  Scenario: A balancer whose first listing is old catches up at once
    Given 12 balancers that have run for 5000 ms
    When stale reads of the store stay at its present state
    And the targets change
    And 1000 ms pass for the fleet
    And a balancer starts
    And 60 ms pass for the fleet
    Then every balancer knows the targets

  Scenario: A store that has lost its history is listed again
    Given 12 balancers that have run for 5000 ms
    When the store loses its history and the targets change
    And 1500 ms pass for the fleet
    Then every balancer knows the targets
    And the change has cost at most 8 calls to the store

  Scenario: A lost history without a change costs the followers nothing
    Given 12 balancers that have run for 5000 ms
    When the store loses its history
    Then 1500 ms cost at most 8 calls to the store

  Scenario: A balancer that starts during an outage fetches state from its peers
    Given 12 balancers that have run for 5000 ms
    When the store answers no balancer
    And 1000 ms pass for the fleet
    And a balancer starts
    And 3000 ms pass for the fleet
    Then every balancer knows the targets
    And every balancer has the configuration

  Scenario: The reader dies between the two calls that follow a lost history
    Given 12 balancers that have run for 5000 ms
    When both change and the store loses its history before it reports that
    And the reader dies as soon as the others know the targets
    And 3500 ms pass for the fleet
    Then every balancer knows the targets
    And every balancer has the configuration

  Scenario: A lost history costs a reader two calls
    Given 12 balancers that have run for 5000 ms
    When both change and the store loses its history before it reports that
    And 1000 ms pass for the fleet
    Then every balancer has the configuration
    And the change has cost at most 5 calls to the store
