Feature: A planned stop under load cuts nothing off

  Scenario: SYNs that have just arrived are answered
    Given a running deployment
    When 40 flows open while a balancer receives SIGTERM
    Then every request is answered
    And the balancer exits with status 0

  Scenario: A peer that reads slowly gets the whole answer
    Given a running deployment with a configuration of 4000 routes
    When a peer asks for the configuration, reads for 2 s, and the balancer receives SIGTERM
    Then it gets the whole configuration
    And the balancer exits with status 0
