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

  Scenario Outline: A late copy of another read's response changes nothing
    Given a balancer that knows targets and a configuration
    And its data centre is emptied
    When the read of <read> gets the response to that of <other>
    Then it knows what it knew

    Examples: Regression: a page that was not asked for was taken for an empty one
      | read                | other               |
      | targets             | the operator's keys |
      | the operator's keys | targets             |

  Scenario: A late copy of a page isn't taken for the next one
    When a read gets the first of two pages twice
    Then the second copy isn't usable
