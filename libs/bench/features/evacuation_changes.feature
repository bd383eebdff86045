Feature: What balancers know of emptied data centres

  Scenario: Requests and their ends reach all balancers
    Given 3 balancers that follow the store
    When the operator empties "z1"
    Then after 300 ms no balancer lacks a change
    When the operator empties "z2"
    Then after 300 ms no balancer lacks a change
    When the operator takes "z1" back
    Then after 300 ms no balancer lacks a change
    When the operator takes "z2" back
    Then after 300 ms no balancer lacks a change

  Scenario: More evacuations than fit into a datagram cost no calls
    Given 12 balancers that follow the store
    When 50 data centres with long names are emptied
    Then after 1000 ms no balancer lacks a change
    And in 5000 ms only the reader calls the store

  Scenario: The reader ends as the request is written
    Given 3 balancers that follow the store
    When the reader is killed
    And the operator empties "z1"
    Then after 3000 ms no balancer lacks a change

  Scenario: The reader ends as the request is taken back
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 300 ms go by
    And the reader is killed
    And the operator takes "z1" back
    Then after 3000 ms no balancer lacks a change

  Scenario: Members without the store
    Given 3 balancers that follow the store
    When the members are cut off from the store for 9000 ms
    And the operator empties "z1"
    Then after 300 ms no balancer lacks a change
    When the operator takes "z1" back
    Then after 300 ms no balancer lacks a change

  Scenario: A balancer starts with reads from before the request
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 500 ms go by
    And a member restarts with reads 3000 ms old
    Then after 1000 ms no balancer lacks a change

  Scenario: All balancers start with reads from before the request
    Given 3 balancers that follow a store whose old reads name its newest revision
    And the operator has emptied "z1"
    When 500 ms go by
    And all balancers restart with reads 3000 ms old
    Then after 3000 ms no balancer lacks a change

  Scenario: A balancer starts with reads from before the end
    Given 3 balancers that follow a store whose old reads name its newest revision
    And the operator has emptied "z1"
    When 1000 ms go by
    And the operator takes "z1" back
    And 500 ms go by
    And a member restarts with reads 1000 ms old
    Then after 1000 ms no balancer lacks a change

  Scenario: A balancer starts while the store answers nobody
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 500 ms go by
    And the store answers nobody for 9000 ms
    And a member restarts
    Then after 4000 ms no balancer lacks a change

  Scenario: The store comes back from a copy without the request
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 500 ms go by
    And the store comes back from its copy of 2000 ms ago
    And 10000 ms go by
    Then no balancer has taken the evacuation of "z1" for ended
    And after 300 ms no balancer lacks a change

  Scenario: The store comes back from a copy, and the request isn't written again
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 500 ms go by
    And the operator gives "z1" up, which the store has lost
    And the store comes back from its copy of 2000 ms ago
    And 2000 ms go by
    Then no balancer has taken the evacuation of "z1" for ended
    And after 2000 ms no balancer lacks a change
    And each balancer has taken the evacuation of "z1" for ended once

  Scenario: A reader's messages from before the request arrive late
    Given 3 balancers that follow the store
    When messages of the reader are held back
    And the operator empties "z1"
    And 500 ms go by
    And they reach the members
    Then no balancer has taken the evacuation of "z1" for ended

  Scenario: A reader's messages from before the end arrive late
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 500 ms go by
    And messages of the reader are held back
    And the operator takes "z1" back
    And 100 ms go by
    And they reach the members
    Then after 0 ms no balancer lacks a change

  Scenario: The store forgets its history
    Given 3 balancers that follow the store
    When the reader's watches are not answered
    And the operator empties "z1"
    And the history is lost
    Then after 4000 ms no balancer lacks a change

  Scenario: The reader misses a request
    Given 3 balancers that follow the store
    When watches lack the next changes of evacuations
    And the operator empties "z1"
    And 1000 ms go by
    And another data centre tells what it knows for 3000 ms
    Then after 1000 ms no balancer lacks a change

  Scenario: The reader misses the end of a request
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 500 ms go by
    And watches lack the next changes of evacuations
    And the operator takes "z1" back
    And 1000 ms go by
    And another data centre tells what it knows for 3000 ms
    Then after 1000 ms no balancer lacks a change

  Scenario: A data centre without the store hears of a request
    Given 3 balancers that follow the store
    When the store answers nobody for 9000 ms
    And the operator empties "z1"
    And another data centre tells what it knows for 1000 ms
    Then after 500 ms no balancer lacks a change

  Scenario: An older list undoes nothing
    Given 3 balancers that follow the store
    And the operator has emptied "z1"
    When 300 ms go by
    And another data centre tells an older list for 3000 ms
    Then no balancer has taken the evacuation of "z1" for ended
    And in 5000 ms only the reader calls the store
