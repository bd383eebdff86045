Feature: Experiments on target choice

  Scenario Outline: The dispatcher beats every choice by own view
    Given 7 targets of 2 slots, 14 balancers and load <load>
    When "random, round-robin, least-own, two-own, dispatcher" and "core" run with seed 1
    Then "core" has the least imbalance and the least p99 of those by own view
    And "core" is within a tenth of "dispatcher"

    Examples:
      | load |
      | 0.7  |
      | 0.8  |

  Scenario: One caller's storm doesn't delay the others' commands
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    And a caller that sends 5 times all other load for a while
    When "core-open" and "core" run with seed 1
    Then no command fails with "core" and some fail with "core-open"
    And p99 of commands with "core" is at most 1.25 times that without the storm

  Scenario: A third of the targets fails
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    And 2 targets that shed everything for a while
    When "core" and "two-own" run with seed 1
    Then "core" sends at most 1.1 times as much as it gets
    And "core" refuses less than "two-own"

  Scenario: All targets are silent for 30 s
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    And an outage of 30 s
    When "core" and "two-own" run with seed 1
    Then "core" has recovered within 5 s
    And "core" sends at most 1.1 times as much as it gets

  Scenario: The same seed gives the same run
    Given 7 targets of 2 slots, 14 balancers and load 0.6
    When "core" and "two-own" run with seed 3
    Then another run with seed 3 gives the same
