Feature: No message between balancers ends one

  Scenario: Messages with fields of any value leave the core running
    Given the core of a balancer that serves
    When it gets 300 random messages of peers
    Then it still places a caller's request

  Scenario: A member whose status is unknown is dropped
    When a Join arrives from a member whose status is 9
    Then the message is undecodable
