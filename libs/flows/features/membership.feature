Feature: Balancers of a data centre find each other through the seeds

  Scenario Outline: All balancers that start together know each other soon
    Given <count> balancers in <data_centres> data centres
    When 1500 ms pass for the cluster
    Then every balancer knows all members

    Examples:
      | count | data_centres |
      | 3     | 1            |
      | 15    | 3            |
      | 195   | 5            |
      | 300   | 3            |
      | 300   | 1            |

  Scenario Outline: A seed's messages don't grow with the fleet
    Given <count> balancers in 3 data centres
    When 130000 ms pass for the cluster
    Then each balancer sends and receives at most 70 messages a second in 60000 ms

    Examples:
      | count |
      | 30    |
      | 100   |
      | 300   |
      | 900   |

  Scenario: Members that aren't seeds exchange almost no messages
    Given 300 balancers in 3 data centres
    When 130000 ms pass for the cluster
    Then a balancer that is no seed sends and receives at most 1 message a second

  Scenario Outline: A balancer that starts is known to all members at once
    Given 300 balancers in 3 data centres
    When 30000 ms pass for the cluster
    And <event>
    And 300 ms pass for the cluster
    Then every balancer knows all members

    Examples:
      | event                   |
      | a balancer is added     |
      | a balancer restarts     |
      | a seed restarts         |

  Scenario: Lost datagrams delay the members by a few rounds
    Given 90 balancers in 3 data centres that lose 20% of datagrams
    When 15000 ms pass for the cluster
    Then every balancer knows all members

  Scenario: A balancer that ended is forgotten
    Given 30 balancers in 3 data centres
    When 5000 ms pass for the cluster
    And a balancer ends
    And 30000 ms pass for the cluster
    Then no balancer lists it

  Scenario: Members are kept while no seed answers
    Given 30 balancers in 3 data centres
    When 5000 ms pass for the cluster
    And the seeds end
    And 120000 ms pass for the cluster
    Then every balancer knows all members

  Scenario: Members are complete again after the seeds have restarted
    Given 195 balancers in 5 data centres
    When 30000 ms pass for the cluster
    And the seeds restart
    And 20000 ms pass for the cluster
    And a balancer is added
    And 300 ms pass for the cluster
    Then every balancer knows all members
    When a balancer ends
    And 90000 ms pass for the cluster
    Then no balancer lists it
