Feature: No input ends a balancer

  Scenario Outline: Random <input> leave the balancer running
    Given a balancer that knows targets and a configuration
    When it gets <count> random <input>
    Then it still serves its state

    Examples:
      | input               | count |
      | messages of peers   | 400   |
      | responses of stores | 400   |
      | documents of peers  | 200   |
      | packets             | 200   |

  Scenario Outline: <input> is rejected
    Given a balancer that knows targets and a configuration
    When it gets <input>
    Then it still serves its state

    Examples: Regression: each ended the process
      | input                                             |
      | targets of a peer with one that is null           |
      | a delta whose position is too large for a metric  |
      | changes whose revision is too large               |
      | a newer configuration whose item has no revision  |
