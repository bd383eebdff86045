Feature: A data centre that lacks a configuration finds out from other balancers

  Scenario Outline: A reader that missed a change learns of it from another data centre
    Given 2 data centres of <count> balancers that have run for 5000 ms
    When a configuration is published that the first data centre's watches lack
    And <time_ms> ms pass for the data centres
    Then every data centre has the configuration
    And the first data centre has read the store again once
    And its reader has reported that it was behind once

    Examples:
      | count | time_ms |
      | 1     | 4500    |
      | 4     | 4500    |
      | 45    | 4500    |

  Scenario Outline: A reader that missed a change learns of it from a follower
    Given 1 data centres of <count> balancers that have run for 5000 ms
    When a configuration is published that the first data centre's watches lack
    And the last follower reads it all the same
    And <time_ms> ms pass for the data centres
    Then every data centre has the configuration
    And the first data centre has read the store again once

    Examples:
      | count | time_ms |
      | 2     | 2500    |
      | 12    | 2500    |

  Scenario: Followers of a reader that does nothing about it read the store themselves
    Given 2 data centres of 4 balancers that have run for 5000 ms
    When the first data centre's reader ignores what it hears
    And a configuration is published that the first data centre's watches lack
    And 6500 ms pass for the data centres
    Then every follower has the configuration

  Scenario Outline: Nothing is read again while changes spread
    Given 2 data centres of <count> balancers that have run for 5000 ms
    When a configuration is published every <pause_ms> ms for 60000 ms
    Then every data centre has the configuration
    And nobody has read the store again

    Examples:
      | count | pause_ms |
      | 4     | 700      |
      | 45    | 2500     |
      | 12    | 20000    |

  Scenario: An outage of the store in one data centre isn't taken for a missed change
    Given 2 data centres of 4 balancers that have run for 5000 ms
    When the store stops answering the first data centre
    And a configuration is published
    And 12000 ms pass for the data centres
    And the store answers the first data centre
    And 3000 ms pass for the data centres
    Then every data centre has the configuration
    And nobody has read the store again

  Scenario: A version that the store doesn't have costs few calls
    Given 2 data centres of 12 balancers that have run for 5000 ms
    When every balancer hears of version 1000000 every 2 s for 600 s
    Then the balancers of a data centre have read the store again at most 30 times
    And each balancer has reported that it was behind at most once

  Scenario: One forged message costs one reading
    Given 2 data centres of 12 balancers that have run for 5000 ms
    When a follower hears of version 1000000 once
    And 60000 ms pass for the data centres
    Then the balancers of a data centre have read the store again at most 2 times

  Scenario: A forged version delays the repair by the longest pause at most
    Given 2 data centres of 4 balancers that have run for 5000 ms
    When every balancer hears of version 1000000 every 2 s for 300 s
    And a configuration is published that the first data centre's watches lack
    And 65000 ms pass for the data centres
    Then every data centre has the configuration

  Scenario: A change that is missed soon after another is repaired as fast
    Given 2 data centres of 4 balancers that have run for 5000 ms
    When a configuration is published that the first data centre's watches lack
    And 4500 ms pass for the data centres
    And a configuration is published that the first data centre's watches lack
    And 4500 ms pass for the data centres
    Then every data centre has the configuration
