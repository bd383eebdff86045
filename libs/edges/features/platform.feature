Feature: Reading and watching the platform

  Scenario: Accepted, rejected and older templates
    Given a platform that serves templates 2, 2, 1, broken 3, broken 3 and 4
    When the template is watched until 4 is read
    Then 2, 2, rejected 3 and 4 were posted
    And the watch requested templates after nothing, 2, 2, 1, 3 and 3
    And 1 older template was counted

  Scenario: A rejected version doesn't keep lower ones from being accepted
    Given a platform that serves templates 2, broken 1000000 and 3
    When the template is watched until 3 is read
    Then 2, rejected 1000000 and 3 were posted

  Scenario: A repaired document isn't missed where it keeps the rejected one's version
    Given a platform that serves templates 2 and broken 3, and then 3 unless the watch names it
    When the template is watched until 3 is read
    Then 2, rejected 3 and 3 were posted
    And the watch requested templates after nothing, 2, 3 and nothing

  Scenario: Another document under the version in force isn't missed after an outage
    Given a platform that serves templates 2 and failure, and then 2 unless the watch names it
    When the template is watched until 2 documents are read
    Then 2 and 2 were posted
    And the watch requested templates after nothing, 2 and nothing

  Scenario: Failures back off with full jitter
    Given a platform that fails 6 times, answers with too large a body and then serves 2
    When the template is watched until 2 is read
    Then the delays were drawn up to 0.5, 1, 2, 4, 8, 8 and 8 seconds
    And 7 failures were counted

  Scenario: A watch that times out is repeated at once
    Given a platform that serves templates 2, nothing new, nothing new and 3
    When the template is watched until 3 is read
    Then 2 and 3 were posted
    And the watch requested templates after nothing, 2, 2 and 2

  Scenario: An interrupted answer is read again soon
    Given a platform that interrupts an answer and then serves 2
    When the template is watched until 2 is read
    Then the delays were drawn up to 2 seconds

  Scenario: A waiting watch ends when it is stopped
    Given a platform that never answers the watch
    When the waiting watch is stopped
    Then the task of the watch has ended

  Scenario: The template is read at once while the watch waits
    Given a platform that serves templates 2 and then never answers the watch
    When a read of the template is requested
    Then it is posted while the watch still waits

  Scenario: The list of instances is read
    Given a platform that lists instances tifton-1 live and tifton-2 leaving
    When the list of instances is polled
    Then both instances are posted with their states

  Scenario: Decoding arbitrary answers of the platform never raises
    When the platform answers with arbitrary bytes
    Then each list of instances and template is posted, or dropped with a reason
