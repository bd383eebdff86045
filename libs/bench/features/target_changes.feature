Feature: Readers tell members what has changed of a target, not the whole target

  Scenario: The warm-ups of many targets
    Given 3 balancers that follow the store
    And 100 more targets that warm up for 8000 ms
    When each of them tells that 6800 ms are left
    Then after 500 ms no balancer lacks a change
    And the reader has sent at most 30 bytes to each member for each target

  Scenario: Targets that leave
    Given 3 balancers that follow the store
    And 100 more targets that warm up for 0 ms
    When each of them tells that it is leaving
    Then after 500 ms no balancer lacks a change
    And the reader has sent at most 30 bytes to each member for each target

  Scenario: Other changes are told in full
    Given 3 balancers that follow the store
    And 100 more targets that warm up for 0 ms
    When each of them tells that it has 5 slots
    Then after 500 ms no balancer lacks a change

  Scenario: A member that missed the start of a target
    Given 3 balancers that follow the store
    When a target starts whose entry doesn't reach a member
    And that target tells that it is leaving
    Then after 3000 ms no balancer lacks a change
