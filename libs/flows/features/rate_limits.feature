Feature: A reader limits the new flows of a service with too little room

  Background:
    Given a balancer with 4 targets and 4 remote ones
    And an objective of 200 ms
    And 4 s in which all targets are equally fast and callers take 30% of the slots

  Scenario Outline: A limit needs long queues here and no room elsewhere
    When <local> local targets <state> and <remote> remote ones for 1 s
    Then new flows are <limited>

    Examples:
      | local | remote | state         | limited     |
      | 4     | 4      | have queues   | limited     |
      | 4     | 0      | have queues   | not limited |
      | 2     | 2      | have queues   | not limited |
      | 4     | 4      | are slow      | not limited |

  Scenario: A reader that has just started doesn't know what is usual
    When another balancer reads for 1 s
    And 4 local targets have queues and 4 remote ones for 1 s
    Then new flows are not limited

  Scenario: A limit isn't far below what targets serve
    When 4 local targets have queues and 4 remote ones for 4 s
    Then the limit is between 0.5 and 1 of what targets serve

  Scenario: A limit ends once nobody is refused any more
    When 4 local targets have queues and 4 remote ones for 1 s
    And all targets are equally fast for 1 s
    Then new flows are not limited
    And "limit_started" is logged once
    And "limit_ended" is logged once

  Scenario: A limit grows while callers are refused and there are few answers
    When 4 local targets have queues and 4 remote ones for 1 s
    And callers are refused and no target answers for 2 s
    Then the limit has grown

  Scenario: Members follow the limit that a reader told
    When a reader tells a limit of 5 new flows a second
    And 100 callers come within a second
    Then between 4 and 12 of them are let in

  Scenario: A limit lapses when the reader is silent
    When a reader tells a limit of 5 new flows a second
    And 3000 ms pass
    And 100 callers come within a second
    Then 100 of them are let in
