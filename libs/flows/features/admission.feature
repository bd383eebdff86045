Feature: Admission where targets have too little room

  Scenario: Nobody is refused while targets answer in time
    Given lookups and confirmations to 4 targets
    When 40 callers a second come for 3 s and targets serve all after 20 ms
    Then nobody is refused

  Scenario: Short answers alone aren't taken for refusals
    Given lookups and confirmations to 4 targets
    When 40 callers a second come for 3 s and targets refuse all
    Then nobody is refused

  Scenario Outline: Short answers that are part of the service's usual mix
    Given lookups and confirmations to 4 targets
    And <share> of what targets serve of lookups has a short answer
    When 40 callers a second come for 20 s and targets serve all after 20 ms
    Then nobody is refused

    Examples:
      | share |
      | 0.1   |
      | 0.2   |
      | 0.3   |

  Scenario: A burst beyond a usual mix of short and long answers
    Given lookups and confirmations to 4 targets
    And 0.2 of what targets serve of lookups has a short answer
    When 10 callers a second come for 6 s and targets serve all after 20 ms
    And 60 callers a second come for 4 s and targets serve 20 a second
    Then the balancer refuses between 0.4 and 0.75 of the callers in the last second

  Scenario: Refusals with long headers are recognised beside longer answers
    Given lookups and confirmations to 4 targets
    And refusals of 420 bytes and other answers of 2400
    When 60 callers a second come for 4 s and targets serve 20 a second
    Then the balancer refuses between 0.5 and 0.75 of the callers in the last second

  Scenario: Answers that are short for good become usual
    When a service gives 100 answers of 2000 bytes, 20000 of 160 and one of 2000
    Then its targets aren't found to refuse more than usual

  Scenario: A grey target fails half of its requests with short errors
    Given lookups and confirmations to 4 targets
    And one target that refuses half of its requests
    When 40 callers a second come for 6 s and targets serve all after 20 ms
    Then nobody is refused

  Scenario: A target that refused gets no flows for a while
    Given lookups and confirmations to 4 targets
    And one target that refuses
    When 40 callers a second come for 3 s and targets serve all after 120 ms
    Then at most 20 flows went to the target that refuses
    And nobody is refused

  Scenario: With too little room most callers are refused at once
    Given lookups and confirmations to 4 targets
    When 60 callers a second come for 4 s and targets serve 20 a second
    Then targets refuse less than 0.25 of what they get in the last second
    And the balancer refuses between 0.5 and 0.75 of the callers in the last second

  Scenario: Confirmations are let in first, lookups keep a floor
    Given lookups and confirmations to 4 targets
    When 60 callers a second come for 4 s and targets serve 20 a second
    Then at least 0.9 of the confirmations and 0.1 of the lookups are let in

  Scenario: A crowd on one route leaves a floor to another of the same kind
    Given lookups and confirmations to 4 targets
    And a second route of lookups that gets every twelfth caller
    When 120 callers a second come for 6 s and targets serve 20 a second
    Then the second route gets at least 0.1 of its callers let in
    And both routes of lookups get some callers let in each second

  Scenario: All are let in soon after the load falls
    Given lookups and confirmations to 4 targets
    When 60 callers a second come for 4 s and targets serve 20 a second
    And 10 callers a second come for 1 s and targets serve all after 20 ms
    Then nobody is refused in the last second
    And shedding was logged from its begin to its end
    And the begin of shedding was logged with what it was decided by
    And refusals were counted by kind and reason

  Scenario: Operators see the rate of a service that is shed
    Given lookups and confirmations to 4 targets
    When 60 callers a second come for 4 s and targets serve 20 a second
    Then the rate of the service is shown while it is shed

  Scenario: A copy of a SYN that was let in is never refused
    Given lookups and confirmations to 4 targets
    When 60 callers a second come for 4 s and targets serve 20 a second
    Then a copy of a SYN that came another way is let in
    And a copy of a refused SYN is refused

  Scenario: A wait beyond the deadline is refused at once
    Given lookups and confirmations to 4 targets
    When 40 callers a second come for 6 s and targets serve all after 4000 ms
    Then some callers are refused because the wait exceeds their deadline
    And shedding was logged from its begin to its end

  Scenario: Nobody is refused where admission is switched off
    Given lookups and confirmations to 4 targets
    And admission is off
    When 60 callers a second come for 4 s and targets serve 20 a second
    Then nobody is refused

  Scenario: A balancer uses no more than its share of a target's connections
    Given lookups and confirmations to 4 targets
    And targets that hold 20 connections, and 5 balancers
    When 20 flows are opened and stay open
    Then each target has at most 8 of them
