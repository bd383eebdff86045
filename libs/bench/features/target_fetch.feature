Feature: A member that missed a change fetches only the targets that differ

  Background:
    Given 3 balancers that follow the store
    And 500 more targets that warm up for 0 ms

  Scenario: A change that didn't reach a member
    When a target starts whose entry doesn't reach a member
    Then after 3000 ms no balancer lacks a change
    And readers have answered members with at most 6000 bytes

  Scenario: A target that ended and one whose end didn't reach a member
    When a target ends whose removal doesn't reach a member
    Then after 3000 ms no balancer lacks a change
    And readers have answered members with at most 6000 bytes

  Scenario: A member whose targets changed while the answer was on its way
    When a target starts whose entry doesn't reach a member
    And the reader answers 400 ms later than it is asked
    And 700 ms go by
    And the first target ends
    Then after 3000 ms no balancer lacks a change

  Scenario: The store comes back from a copy while a member lacks a change
    When a target starts whose entry doesn't reach a member
    And the store comes back from its copy of 500 ms ago
    Then after 14000 ms no balancer lacks a change

  Scenario: An answer that doesn't lead to the reader's targets
    Given the reader states another digest in its answers
    When a target starts whose entry doesn't reach a member
    Then after 6000 ms no balancer lacks a change

  Scenario: A reader whose program sends all targets only
    Given the reader's program is the one before
    When a target starts whose entry doesn't reach a member
    Then after 6000 ms no balancer lacks a change
