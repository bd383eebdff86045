Feature: The fabric sprays datagrams over balancers

  Scenario: The same seed makes the same choices
    Given a fabric's rules with 3 balancers of "relay" and {}
    When 200 datagrams for "relay" are decided twice with seed 5
    Then both runs chose alike
    And each balancer was chosen at least 40 times

  Scenario: Another workspace's balancers are never chosen
    Given a fabric's rules with 3 balancers of "relay" and {}
    When 50 datagrams for "hub" are decided twice with seed 5
    Then nothing was delivered

  Scenario: Nothing passes to or from a blocked balancer
    Given a fabric's rules with 1 balancers of "relay" and {"blocked": ["10.0.0.1"]}
    When 50 datagrams for "relay" are decided twice with seed 5
    Then nothing was delivered

  Scenario: A muted caller's path is silent, others' aren't
    Given a running fabric with 2 balancers that echo
    When 2 callers send 1 datagrams each
    And the control mutes the first caller
    And the second caller's datagram comes back after one of the first
    Then the fabric has counted 1 muted datagrams

  Scenario Outline: A fault strikes a share of the datagrams
    Given a fabric's rules with 3 balancers of "relay" and {"<rule>": 0.25}
    When 2000 datagrams for "relay" are decided twice with seed 5
    Then both runs chose alike
    And between <least> and <most> copies were delivered
    And between <held_least> and <held_most> copies were held back

    Examples:
      | rule      | least | most | held_least | held_most |
      | loss      | 1400  | 1600 | 0          | 0         |
      | duplicate | 2400  | 2600 | 0          | 0         |
      | reorder   | 2000  | 2000 | 400        | 600       |

  Scenario: A rule that isn't known is refused
    Given a fabric's rules with 3 balancers of "relay" and {}
    Then the rule "los" is refused

  Scenario: Datagrams reach balancers and come back to their own caller
    Given a running fabric with 2 balancers that echo
    When 2 callers send 40 datagrams each
    Then each caller gets its own datagrams from the entry address
    And the balancers "127.0.0.2 127.0.0.3" took part
    And the balancers saw 2 callers

  Scenario: The live balancers are replaced at run time
    Given a running fabric with 2 balancers that echo
    When the control leaves only the second balancer
    And 2 callers send 10 datagrams each
    Then each caller gets its own datagrams from the entry address
    And the balancers "127.0.0.3" took part
