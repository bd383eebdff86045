Feature: Uneven demand and uneven targets

  Scenario: A slow target gets a small share of the flows
    Given a balancer with 10 targets
    When 1 target takes 6 times as long as the others for 2 s
    And 400 flows come and go
    Then the slow targets together get between 2 and 20 flows
    And "target_set_aside" is logged once

  Scenario Outline: A slow target gets less than its speed's share while others are free
    Then at speed <speed> and load <load> its share is <percent>%

    Examples:
      | speed | load | percent |
      | 0.4   | 1.5  | 40      |
      | 0.4   | 1.0  | 40      |
      | 0.4   | 0.7  | 30      |
      | 0.4   | 0.3  | 10      |
      | 0.2   | 0.8  | 14      |
      | 0.2   | 0.0  | 10      |

  Scenario: A few long requests don't make a target slow
    Given a balancer with 10 targets
    When each target takes 7 times as long for 1 request in 10
    Then no target is set aside

  Scenario: If all are slow, none is set aside
    Given a balancer with 6 targets
    When 6 targets take 8 times as long as the others for 2 s
    Then no target is set aside

  Scenario: The only target is never set aside
    Given a balancer with 1 targets
    When 1 target takes 8 times as long as the others for 2 s
    And 40 flows come and go
    Then the slow targets together get between 40 and 40 flows

  Scenario: Most targets are slow, compared with their own past
    Given a balancer with 10 targets
    When all targets are equally fast for 4 s
    And 6 targets take 4 times as long as the others for 8 s
    And 400 flows come and go
    Then 6 targets are set aside
    And the slow targets together get between 20 and 100 flows

  Scenario: Where all turn slow alike, flows are divided as before
    Given a balancer with 5 targets
    When all targets are equally fast for 4 s
    And 5 targets take 4 times as long as the others for 4 s
    And 400 flows come and go
    Then each target gets between 60 and 100 flows

  Scenario: Targets that warm up together aren't slow
    Given a balancer with 6 targets of which 0 warms up
    When all targets are equally fast for 4 s
    And 4 targets warm up and take 3 times as long for 3 s
    Then no target is set aside

  Scenario: A queue doesn't make targets slow
    Given a balancer with 4 targets
    When all targets are equally fast for 4 s
    And all slots of 2 targets are busy and callers wait 5 times as long for 4 s
    Then no target is set aside

  Scenario: Answers from another data centre take longer and are no fault
    Given a balancer with 4 targets and 4 remote ones
    When the remote targets take 3 times as long as the others for 2 s
    Then no target is set aside

  Scenario: One balancer's word doesn't set a target aside
    Given a balancer with 10 targets
    When one balancer says that 1 target takes 6 times as long for 2 s
    Then no target is set aside

  Scenario: A slow balancer doesn't set a target aside
    Given a balancer with 10 targets
    When one balancer says that 1 target takes 6 times as long for 2 s, others that it doesn't
    Then no target is set aside

  Scenario: Targets that refuse at once don't make those that serve look slow
    Given a balancer with 10 targets
    When all targets are equally fast for 4 s
    And 6 targets refuse at once and 4 take 2 times as long for 4 s
    Then no target is set aside

  Scenario: A target that is fast again comes back in steps
    Given a balancer with 10 targets
    When 1 target takes 6 times as long as the others for 2 s
    And all targets are equally fast for 5 s
    Then its share rises in at least 4 steps
    And no target is set aside
    And "target_restored" is logged once

  Scenario: A target without new answers is tried again
    Given a balancer with 10 targets
    When 1 target takes 6 times as long as the others for 2 s
    And no answer is reported for 8 s
    Then no target is set aside

  Scenario Outline: A target that flaps stays set aside longer each time
    Given a balancer with 10 targets
    When 1 target <fault> 6 times
    Then each time takes longer to come back than the one before, up to <most> s
    When all targets are equally fast for 120 s
    And 1 target <fault> 1 times
    Then its return takes as long as the first time

    Examples:
      | fault                       | most |
      | is slow and then fast again | 25   |
      | dies and comes back         | 25   |
      | restarts with another id    | 25   |

  Scenario Outline: Flows of a target that is set aside go to all others alike
    Then of <count> targets each is first, and next to each other, for as many balancers

    Examples:
      | count |
      | 1     |
      | 2     |
      | 5     |
      | 7     |
      | 20    |

  Scenario: A target that died once gets all its flows at once
    Given a balancer with 10 targets
    When 1 target dies and comes back 1 times
    Then no target is set aside

  Scenario: A new reader starts without what the former one knew
    Given a balancer with 10 targets
    When 1 target dies and comes back 4 times
    And another balancer reads for 1 s
    And all targets are equally fast for 1 s
    Then no target is set aside

  Scenario Outline: Where most targets flap, none is held back for it
    Given a balancer with <count> targets
    When <flapping> target dies and comes back 5 times
    Then <held> targets are set aside

    Examples:
      | count | flapping | held |
      | 10    | 10       | 0    |
      | 10    | 6        | 0    |
      | 10    | 5        | 5    |
      | 2     | 1        | 1    |
      | 1     | 1        | 0    |

  Scenario: Held targets and dead ones together are no more than half
    Given a balancer with 10 targets
    When 4 target dies and comes back 5 times
    And 3 other targets die
    And all targets are equally fast for 4 s
    Then 2 targets are set aside

  Scenario: Advice lapses when the reader is silent
    Given a balancer with 2 targets
    When a reader advises a share of 1% for a target
    And 3000 ms pass
    And 40 flows come and go
    Then each target gets 20 flows

  Scenario: Advice on targets that this balancer doesn't know changes nothing
    Given a balancer with 2 targets
    When a reader advises a share of 1% for an unknown target
    And 40 flows come and go
    Then each target gets 20 flows

  Scenario: A target at its cap of connections is left out while others have room
    Given a balancer with 4 targets
    And a target holds at most 60 connections
    When 3 members report 18 flows to 1 target
    And 40 flows come and go
    Then the slow targets together get between 0 and 0 flows
    When 3 members report 17 flows to 1 target
    Then 1 target is at its cap
    When 3 members report 15 flows to 1 target
    Then 0 target is at its cap
    And "target_at_cap" is logged 2 times

  Scenario Outline: Flows are counted over all balancers of the data centre
    Given a balancer with 4 targets and 4 remote ones
    And a target holds at most <cap> connections
    When <members> members report <flows> flows to <targets> target
    Then <full> target is at its cap

    Examples:
      | cap | members | flows | targets | full |
      | 60  | 3       | 17    | 1       | 0    |
      | 60  | 2       | 30    | 1       | 1    |
      | 60  | 1       | 900   | 1       | 0    |
      | 60  | 0       | 0     | 1       | 0    |
      | 0   | 3       | 900   | 1       | 0    |
      | 60  | 3       | 20    | 4       | 4    |

  Scenario: Targets elsewhere get a data centre's part of their connections
    Given a balancer with 4 targets and 4 remote ones
    And a target holds at most 60 connections
    When 3 members report 9 flows to a remote target
    Then 1 target is at its cap

  Scenario: Where all targets are at their cap, all are used
    Given a balancer with 4 targets
    And a target holds at most 60 connections
    When 3 members report 20 flows to 4 target
    And 40 flows come and go
    Then each target gets 10 flows

  Scenario: Reports of connections that are lost count no longer
    Given a balancer with 4 targets
    And a target holds at most 60 connections
    When 3 members report 20 flows to 1 target
    And no answer is reported for 3 s
    Then 0 target is at its cap

  Scenario: Nothing is said about caps where admission is switched off
    Given a balancer with 4 targets
    And a target holds at most 60 connections
    But admission is switched off
    When 3 members report 20 flows to 1 target
    Then 0 target is at its cap
    And this balancer with 40 open flows reports none of them

  Scenario: A balancer reports flows from half of its share on
    Given a balancer with 1 targets
    And a target holds at most 60 connections
    Then this balancer with 9 open flows reports none of them
    And this balancer with 10 open flows reports 10 of them

  Scenario: A burst spills to other data centres
    Given a balancer with 10 targets and 10 remote ones
    When callers keep 30 slots busy for 3 s
    And 400 flows come and go
    Then between 55% and 70% of them are local
    And "spill_started" is logged once

  Scenario: A burst doesn't spill to an emptied data centre
    Given a balancer with 10 targets and 10 remote ones
    When "camilla" is emptied
    And callers keep 30 slots busy for 3 s
    Then "spill_started" is never logged

  Scenario: Calm demand stays, and nothing is sent about it
    Given a balancer with 10 targets and 10 remote ones
    When callers keep 6 slots busy for 3 s
    And 400 flows come and go
    Then between 100% and 100% of them are local
    And neither advice nor digests were sent

  Scenario: Demand that varies a little doesn't make a spill come and go
    Given a balancer with 10 targets and 10 remote ones
    When callers keep 17 slots busy for 3 s
    And demand varies between 14 and 15 slots for 10 s
    Then "spill_started" is logged once
    When demand varies between 13 and 15 slots for 10 s
    Then "spill_started" is logged once

  Scenario: A spill goes on while most targets refuse at once
    Given a balancer with 10 targets and 10 remote ones
    When callers keep 30 slots busy for 4 s
    And callers keep 30 slots busy for 15 s while targets refuse at once
    And 400 flows come and go
    Then between 50% and 75% of them are local

  Scenario: A data centre that has few targets sends no less than before
    Given a balancer with 2 targets and 18 remote ones
    When callers keep 4 slots busy for 3 s
    And 400 flows come and go
    Then between 20% and 30% of them are local

  Scenario: A burst ends
    Given a balancer with 10 targets and 10 remote ones
    When callers keep 30 slots busy for 3 s
    And callers keep 6 slots busy for 5 s
    And 400 flows come and go
    Then between 100% and 100% of them are local
    And "spill_ended" is logged once

  Scenario Outline: Demand is divided between data centres
    Then with <slots> slots each and demand "<demands>", "<from>" sends <parts>

    Examples:
      | slots | demands           | from | parts           |
      | 40    | a 60, b 10, c 10  | a    | b 27%, c 27%    |
      | 40    | a 60, b 24, c 10  | a    | b 12%, c 36%    |
      | 40    | a 60, b 10        | a    | b 31%, c 21%    |
      | 40    | a 60, b 60, c 60  | a    | nothing         |
      | 40    | a 90, b 60, c 60  | b    | nothing         |
      | 40    | a 90, b 90, c 30  | a    | c 22%           |
      | 40    | a 90, b 90, c 30  | c    | nothing         |
      | 40    | a 20              | a    | nothing         |

  Scenario: A data centre whose targets are slow gets no spill
    Given a balancer with 10 targets and 10 remote ones
    When the remote data centre tells that 6 slots are busy of 5 that it has
    And callers keep 30 slots busy for 3 s
    And 400 flows come and go
    Then between 85% and 100% of them are local

  Scenario: A data centre whose targets turn slow spills
    Given a balancer with 10 targets and 10 remote ones
    When callers keep 10 slots busy for 4 s
    And all local targets take 4 times as long while callers keep 10 slots busy for 3 s
    And 400 flows come and go
    Then between 20% and 50% of them are local

  Scenario: A cut data centre counts as an average one, not as idle
    Given a balancer with 10 targets and 10 remote ones
    When the remote data centre tells that 12 slots are busy
    Then its demand counts as 12 slots
    But 4000 ms later it isn't known

  Scenario: A seed passes digests on to the readers of other data centres
    Given a balancer with 2 targets
    When readers of "tifton", "camilla" and "pelham" send digests to this seed
    Then the next of "tifton" goes to the readers of "camilla" and "pelham"
    And one that was passed on goes to nobody
    And 6000 ms later it goes to nobody else
