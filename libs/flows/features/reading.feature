Feature: Few balancers read the store, and all of them know

  Scenario: One reader, some calls a second
    Given 12 balancers that have run for 5000 ms
    Then 1 balancer reads for the others
    And 10000 ms cost at most 14 calls to the store

  Scenario: All balancers wait for the operator's first configuration
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
    Then every balancer shows the targets

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
    Then every balancer shows the targets
    And every balancer has the configuration

  Scenario: A change right after the store turned the reader away
    Given 12 balancers that have run for 5000 ms
    When the store doesn't answer the reader any more
    And the targets change
    And the configuration changes
    And 2900 ms pass for the fleet
    Then every balancer shows the targets
    And every balancer has the configuration

  Scenario: The same with many seeds
    Then with 60 seeds a lost reader delays a change by 2900 ms at most

  Scenario: A third of the balancers is turned away
    Given 12 balancers that have run for 5000 ms
    When the store doesn't answer 4 balancers any more
    And 4000 ms pass for the fleet
    And the configuration changes
    And the targets change
    And 2900 ms pass for the fleet
    Then every balancer shows the targets
    And every balancer has the configuration

  Scenario Outline: Parts of the changes of two readers
    Given a balancer whose targets are those of revision 10
    When part <first> of 2 of reader <one> for 20 arrives
    And part <second> of 2 of reader <other> for 20 arrives
    Then its targets are those of revision <known>
    And <entries> are taken in

    Examples:
      | first | one | second | other | known | entries    |
      | 0     | 1   | 1      | 1     | 20    | 1-0, 1-1   |
      | 1     | 1   | 0      | 1     | 20    | 1-0, 1-1   |
      | 0     | 1   | 1      | 2     | 10    | no entries |
      | 0     | 1   | 0      | 1     | 10    | no entries |

  Scenario: A lost delta is made up for
    Given 12 balancers that have run for 5000 ms
    When the targets change and 3 balancers miss the delta
    And 1500 ms pass for the fleet
    Then every balancer shows the targets

  Scenario: A delta that follows an unread configuration doesn't hide it
    Given 3 balancers that have run for 5000 ms
    When the configuration changes
    And the targets change
    And the reader dies
    And 6000 ms pass for the fleet
    Then every balancer has the configuration

  Scenario: An outage costs few calls, and its end is noticed at once
    Given 12 balancers that have run for 5000 ms
    When the store answers nobody
    Then 10000 ms cost at most 60 calls to the store
    When the targets change
    And the store answers everybody
    And 2000 ms pass for the fleet
    Then every balancer shows the targets
    And 1 balancer reads for the others

  Scenario: A balancer whose first listing is old catches up at once
    Given 12 balancers that have run for 5000 ms
    When old answers of the store stay behind from now on
    And the targets change
    And 1000 ms pass for the fleet
    And a balancer starts
    And 60 ms pass for the fleet
    Then every balancer shows the targets

  Scenario: A store that has lost its history is read anew
    Given 12 balancers that have run for 5000 ms
    When the store forgets its history and the targets change
    And 1500 ms pass for the fleet
    Then every balancer shows the targets
    And the change has cost at most 8 calls to the store

  Scenario: A lost history without a change costs the followers nothing
    Given 12 balancers that have run for 5000 ms
    When the store forgets its history
    Then 1500 ms cost at most 8 calls to the store

  Scenario: A balancer that starts in an outage takes over what its peers know
    Given 12 balancers that have run for 5000 ms
    When the store answers nobody
    And 1000 ms pass for the fleet
    And a balancer starts
    And 3000 ms pass for the fleet
    Then every balancer shows the targets
    And every balancer has the configuration

  Scenario: The reader dies between the two calls that make up for a lost history
    Given 12 balancers that have run for 5000 ms
    When the store hides its changes until its history is lost, and both change
    And the reader dies as soon as the others know the targets
    And 3500 ms pass for the fleet
    Then every balancer shows the targets
    And every balancer has the configuration

  Scenario: A lost history costs a reader two calls
    Given 12 balancers that have run for 5000 ms
    When the store hides its changes until its history is lost, and both change
    And 1000 ms pass for the fleet
    Then every balancer has the configuration
    And the change has cost at most 5 calls to the store
