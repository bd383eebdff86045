Feature: Balancer processes keep their promises under injected faults

  Scenario Outline: A short soak test finds no violation
    When seed <seed> is run for <seconds> s
    Then no promise is broken
    And at least 1000 requests were answered

    Examples: Seeds of each test run
      | seed | seconds |
      | 1    | 8       |

    Examples: Regression: malformed JSON in the store ended every balancer
      | seed | seconds |
      | 106  | 12      |

    Examples: Regression: a check didn't excuse a target that had just ended
      | seed | seconds |
      | 601  | 12      |

  # Guards against the faults of docs/incidents/configuration-fetch-postponed.md,
  # unknown-route-reset.md, entry-without-target.md and crowded-target-reset.md.
  Scenario Outline: Planned work that overlaps, odd entries and impatient callers
    When seed <seed> is run for <seconds> s with planned work alone
    Then no promise is broken
    And at least 1000 requests were answered

    Examples:
      | seed | seconds |
      | 8202 | 24      |
      | 8203 | 24      |

  Scenario Outline: A broken build is detected
    When seed <seed> is run with "<mutation>"
    Then a violation of the promise that it breaks is found

    Examples:
      | seed | mutation                                    |
      | 1    | flows go to any service             |
      | 1    | balancers name a target differently |
      | 1    | new routes are ignored              |
      | 5    | an older copy undoes an evacuation |
      | 19   | every balancer takes the whole budget |
      | 2    | a warm-up counts from a target's arrival |

  Scenario Outline: A build that goes on from the position of an old read is detected
    When seed <seed> is run for <seconds> s with "a read that may be old gives a position"
    Then a violation of the promise that it breaks is found

    Examples:
      | seed | seconds |
      | 8    | 2       |
      | 13   | 2       |

  Scenario: Balancers that can't start are reported as a violation
    When a soak test is run whose balancers exit at once
    Then the only broken promise is "balancers start"

  Scenario: A seed whose loopback network is in use is refused by name
    Given a loopback network that another process has reserved
    When the command is run with a seed that needs it
    Then it exits with status 1 and names the seed and the network

  Scenario: The proxy disturbs connections in each of its modes
    Then a call through the proxy is answered, dropped, reset or delayed by its mode

  Scenario: Series of faults leave the other faults of a seed as they were
    When the faults of 20 seeds are drawn with and without series
    Then both draw the same faults
    And the series change up to 8, more than 8 and more than 64 routes at once

  Scenario Outline: A run by an older configuration is reported unless the rules excuse it
    Given a route that was moved at 100 s
    And "<subject>" was disturbed from <start> s to <end> s
    When a flow that opens at <at> s through "tifton-1" is run by the former service
    Then <count> runs by an older configuration are reported

    Examples:
      | subject       | start | end | at    | count |
      | nothing       | 0     | 0   | 102.9 | 0     |
      | nothing       | 0     | 0   | 103.1 | 1     |
      | tifton-1      | 98    | 100 | 103.1 | 0     |
      | tifton-1      | 98    | 100 | 104.1 | 1     |
      | tifton-1      | 90    | 120 | 119.0 | 0     |
      | tifton-2      | 98    | 104 | 103.1 | 1     |
      | store         | 90    | 120 | 119.0 | 0     |
      | store         | 98    | 100 | 104.1 | 1     |
      | store, partly | 90    | 130 | 114.9 | 0     |
      | store, partly | 90    | 130 | 115.1 | 1     |
      | store, partly | 98    | 100 | 104.1 | 1     |

  Scenario Outline: A balancer that lacks a change once the faults are over is reported
    Given a balancer that knows the store's targets and configuration
    When it has <difference>
    Then "<promise>" is the only violation of its view

    Examples:
      | difference             | promise                                     |
      | an older version       | all balancers have the newest configuration |
      | a route too many       | all balancers have the newest configuration |
      | a route less           | all balancers have the newest configuration |
      | another service        | all balancers have the newest configuration |
      | no configuration       | all balancers have the newest configuration |
      | a target too many      | all balancers follow the store              |
      | a target as not leaving | all balancers follow the store              |

  Scenario Outline: A flow to an emptied data centre is reported unless the rules excuse it
    Given a data centre that was emptied from 100 s to 120 s
    And "<subject>" was disturbed from <start> s to <end> s
    When a flow opens in "<data centre>" at <at> s through "tifton-1"
    Then <count> flows to an emptied data centre are reported

    Examples:
      | subject       | start | end | data centre | at    | count |
      | nothing       | 0     | 0   | tifton      | 102.9 | 0     |
      | nothing       | 0     | 0   | tifton      | 103.1 | 1     |
      | nothing       | 0     | 0   | tifton      | 120.1 | 0     |
      | nothing       | 0     | 0   | camilla     | 103.1 | 0     |
      | tifton-1      | 98    | 100 | tifton      | 103.9 | 0     |
      | tifton-1      | 98    | 100 | tifton      | 104.1 | 1     |
      | tifton-2      | 98    | 104 | tifton      | 103.1 | 1     |
      | store         | 98    | 100 | tifton      | 103.9 | 0     |
      | store, partly | 98    | 100 | tifton      | 103.9 | 0     |

  Scenario Outline: A cold target that gets more than it bears is reported
    Given a target that <change> at 100 s and bears 4 flows in a second
    And "<subject>" was disturbed from <start> s to <end> s
    When <flows> flows, <apart> s apart from <at> s, open through "tifton-1"
    Then <count> cold targets with too many flows are reported

    Examples:
      | change   | subject  | start | end | flows | apart | at    | count |
      | started  | nothing  | 0     | 0   | 5     | 0.1   | 100.0 | 1     |
      | started  | nothing  | 0     | 0   | 4     | 0.1   | 100.0 | 0     |
      | started  | nothing  | 0     | 0   | 5     | 0.1   | 101.8 | 1     |
      | started  | nothing  | 0     | 0   | 10    | 0.3   | 100.0 | 0     |
      | started  | nothing  | 0     | 0   | 5     | 0.1   | 104.0 | 0     |
      | started  | tifton-1 | 98    | 100 | 5     | 0.1   | 101.0 | 1     |
      | returned | nothing  | 0     | 0   | 5     | 0.1   | 101.0 | 1     |
      | returned | tifton-1 | 98    | 100 | 5     | 0.1   | 101.0 | 0     |
      | returned | tifton-1 | 98    | 100 | 5     | 0.1   | 103.0 | 0     |
      | returned | tifton-1 | 96    | 97  | 5     | 0.1   | 101.5 | 1     |
      | returned | tifton-2 | 98    | 100 | 5     | 0.1   | 101.0 | 1     |

  Scenario Outline: A reset of an open flow is reported unless its target was disturbed
    Given a route that was added at <route> s and a target that started at <target> s
    And "<subject>" was disturbed from <start> s to <end> s
    When an open flow from "tifton" to the target is reset at <at> s
    Then <count> resets are reported

    Examples:
      | route | target | subject   | start | end | at  | count |
      | 100   | 50     | nothing   | 0     | 0   | 101 | 1     |
      | 100   | 50     | tifton-1  | 100   | 101 | 102 | 1     |
      | 50    | 100    | tifton-1  | 100   | 101 | 102 | 1     |
      | 50    | 50     | tifton-1  | 100   | 101 | 102 | 1     |
      | 100   | 100    | tifton-1  | 100   | 101 | 106 | 1     |
      | 100   | 100    | tifton-1  | 112   | 113 | 114 | 1     |
      | 100   | 100    | camilla-1 | 100   | 101 | 102 | 1     |
      | 50    | 50     | i-1       | 100   | 101 | 102 | 0     |

  Scenario Outline: An answer on a dropped route is reported unless its flow was open before
    Given a route that was dropped at 100 s and a flow on it that opened at <opened> s
    When its requests, sent at <sent> s, are answered
    Then <count> answers on a dropped route are reported

    Examples:
      | opened | sent         | count |
      | 90.0   | 102.9        | 0     |
      | 90.0   | 104.0        | 0     |
      | 90.0   | 104.0, 107.0 | 0     |
      | 90.0   | 104.0, 107.1 | 1     |
      | 102.9  | 104.0        | 0     |
      | 103.1  | 104.0        | 1     |

  Scenario Outline: A refused flow is reported unless a balancer was disturbed while it opened
    Given a route that was added at 100 s and a target that started at 50 s
    And "<subject>" was disturbed from <start> s to <end> s
    When a flow from "tifton", sent at <sent> s, is refused at <at> s
    Then <count> refused flows are reported

    Examples:
      | subject   | start | end | sent | at  | count |
      | nothing   | 0     | 0   | 102  | 103 | 0     |
      | nothing   | 0     | 0   | 105  | 106 | 1     |
      | tifton-1  | 106   | 107 | 105  | 107 | 0     |
      | tifton-1  | 108   | 109 | 105  | 107 | 1     |
      | tifton-1  | 98    | 100 | 105  | 107 | 1     |
      | camilla-1 | 106   | 107 | 105  | 107 | 1     |
