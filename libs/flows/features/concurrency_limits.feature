Feature: A reader limits the requests in hand of a service with too little room

  Background:
    Given a balancer with 4 targets and 4 remote ones
    And an objective of 200 ms
    And 4 s in which all targets are equally fast and callers take 30% of the slots

  Scenario Outline: A limit needs long queues here and no room elsewhere
    When <local> local targets <state> and <remote> remote ones for 1 s
    Then requests in hand are <limited>

    Examples:
      | local | remote | state         | limited     |
      | 4     | 4      | have queues   | limited     |
      | 4     | 0      | have queues   | not limited |
      | 2     | 2      | have queues   | not limited |
      | 4     | 4      | are slow      | not limited |

  Scenario: A reader that has just started doesn't know what is usual
    When another balancer reads for 1 s
    And 4 local targets have queues and 4 remote ones for 1 s
    Then requests in hand are not limited

  Scenario: A limit keeps slots busy, and nobody waits longer than the objective
    When 4 local targets have queues and 4 remote ones for 4 s
    Then the limit is no less than the slots
    And the limit is at most what targets serve in 200 ms

  Scenario: A limit ends once nobody is refused any more
    When 4 local targets have queues and 4 remote ones for 1 s
    And all targets are equally fast for 1 s
    Then requests in hand are not limited
    And "limit_started" is logged once
    And "limit_ended" is logged once

  Scenario: A limit leaves this data centre's part of the slots in use while there are no answers
    When 4 local targets have queues and 4 remote ones for 1 s
    And callers are refused and no target answers for 2 s
    Then the limit is no less than half of the slots

  Scenario Outline: A member keeps to the limit that a reader told
    When a reader tells a limit of <limit> requests in hand at each target
    And 100 callers come whose requests aren't answered
    Then <count> of them are let in

    Examples:
      | limit | count |
      | 0.25  | 2     |
      | 1     | 8     |
      | 2     | 16    |

  Scenario: Answers make room for others
    When a reader tells a limit of 1 requests in hand at each target
    And 100 callers come who are answered at once
    Then 100 of them are let in

  Scenario: Callers that give up make room for others
    When a reader tells a limit of 1 requests in hand at each target
    And 100 callers come whose requests aren't answered
    And they end their flows
    And 100 callers come whose requests aren't answered
    Then 8 of them are let in

  Scenario: Requests that nobody waits for any more take no room
    When a reader tells a limit of 1 requests in hand at each target
    And 100 callers come whose requests aren't answered
    And 7000 ms pass
    And a reader tells a limit of 1 requests in hand at each target
    And 100 callers come whose requests aren't answered
    Then 8 of them are let in

  Scenario: Flows go where there is room, near or far
    When a reader tells a limit of 3 requests in hand at each target but 1 at the local ones
    And 100 callers come whose requests aren't answered
    Then the local targets have 4 requests in hand and the remote ones 12

  Scenario: A limit lapses when the reader is silent
    When a reader tells a limit of 1 requests in hand at each target
    And 3000 ms pass
    And 100 callers come whose requests aren't answered
    Then 100 of them are let in

  Scenario: The first targets that are back aren't run over
    When all targets are dead for 1 s
    And the first of them is back
    And 100 callers come whose requests aren't answered
    Then 2 of them are let in

  Scenario: All are let in a second after targets are back, if they answer in time
    When all targets are dead for 1 s
    And all of them are back
    And all targets are equally fast for 2 s
    And 100 callers come whose requests aren't answered
    Then 100 of them are let in

  Scenario: A request counts at the target that its SYN went to last
    When a caller whose SYN isn't answered sends it again
    Then only the later target has its request in hand

  Scenario: Requests whose answers may pass elsewhere take no room
    When a reader tells a limit of 1 requests in hand at each target
    And 100 callers come whose requests aren't answered
    And routers hand the flows to other balancers
    And 100 callers come whose requests aren't answered
    Then 8 of them are let in
