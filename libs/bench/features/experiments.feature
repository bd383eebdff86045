Feature: Experiments on target selection

  Scenario Outline: The dispatcher outperforms policies that use only a balancer's own view
    Given 7 targets of 2 slots, 14 balancers and load <load>
    When "random, round-robin, least-own, two-own, dispatcher" and "core" run with seed 1
    Then "core" has the lowest imbalance and p99 of the policies without a dispatcher
    And "core" is within a tenth of "dispatcher"

    Examples:
      | load |
      | 0.7  |
      | 0.8  |

  Scenario: One caller's storm doesn't delay the others' commands
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    And a caller that sends 5 times the load of all others for a while
    When "core-open" and "core" run with seed 1
    Then no command fails with "core" and some fail with "core-open"
    And p99 of commands with "core" is at most 1.25 times that without the storm

  Scenario: Retries stay within their budget while a third of the targets sheds
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    And 2 targets that shed everything for a while
    When "core" and "two-own" run with seed 1
    Then "core" sends at most 1.1 requests upstream per request
    And "core" refuses less than "two-own"

  Scenario: The balancers recover from an outage of all targets for 30 s
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    And an outage of 30 s
    When "core" and "two-own" run with seed 1
    Then "core" has recovered within 5 s
    And "core" sends at most 1.1 requests upstream per request

  Scenario Outline: Uneven demand and slow targets make callers wait little longer
    Given 21 targets in 3 data centres, <balancers> balancers and demand of 3 to 1 to 1
    And 3 targets that turn slow by 5 when demand turns uneven
    When "packet-random, packet-advised" and "one-queue" run with seed 1
    Then p99 of the wait with "packet-advised" is at most 2 times that with "one-queue"
    And p99 of the wait with "packet-advised" is at most 0.5 times that with "packet-random"

    Examples:
      | balancers |
      | 30        |
      | 99        |
      | 300       |

  Scenario: Runs with the same seed give the same results
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    When "core" and "two-own" run with seed 3
    Then another run with seed 3 gives the same
