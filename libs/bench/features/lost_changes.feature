Feature: No change of the store is lost for good

  Scenario: Changes without a fault
    Given 3 balancers that follow the store
    When a route changes
    And a target starts
    And the first target ends
    Then after 300 ms no balancer lacks a change

  # Reads that may be old name the revision of the copy that they come from, and
  # those of a start come from copies of different age.

  Scenario: A route that changed before a start, with a configuration older than the targets
    Given 1 balancers that follow the store
    When a route changes
    And 1000 ms go by
    And reads of the configuration take 15 ms, a little more than the listing
    And the reader restarts with targets 0 ms and a configuration 3000 ms old
    Then after 6000 ms no balancer lacks a change

  Scenario: A target that ended before a start, with pages of copies of different age
    Given 1 balancers that follow the store
    When the last target ends
    And 1000 ms go by
    And the reader restarts with a first page 0 ms and others 3000 ms old
    Then after 6000 ms no balancer lacks a change

  Scenario: A route that changed before a start, in reads that name the newest revision
    Given 1 balancers that follow a store whose old reads name its newest revision
    When a route changes
    And 1000 ms go by
    And the reader restarts with targets 3000 ms and a configuration 3000 ms old
    Then after 6000 ms no balancer lacks a change

  Scenario: A target that ended before a start, in reads that name the newest revision
    Given 1 balancers that follow a store whose old reads name its newest revision
    When the last target ends
    And 1000 ms go by
    And the reader restarts with targets 3000 ms and a configuration 3000 ms old
    Then after 6000 ms no balancer lacks a change

  Scenario: A reader that lost its history fetches an older configuration from a peer
    Given 3 balancers that follow the store
    When the reader restarts with targets 0 ms and a configuration 0 ms old
    And 11 ms go by
    And a route changes
    And 100 ms go by
    And a route changes
    And the history is lost
    Then after 6000 ms no balancer lacks a change

  Scenario: A start with an older configuration of a peer, whose reader dies
    Given 2 balancers that follow the store
    When the reader's watches are not answered
    And a route changes
    And a member restarts and its read of the configuration is lost
    And 1800 ms go by
    And the reader is killed
    Then after 6000 ms no balancer lacks a change

  Scenario: A target that a new reader never knew ends in a lost history
    Given 3 balancers that follow the store
    When the first member is cut off from its peers
    And a target starts
    And 100 ms go by
    And the reader is killed
    And the last target ends
    And the history is lost
    And no balancer is cut off from its peers
    And the second member is cut off from the store for 3000 ms
    Then after 6000 ms no balancer lacks a change

  Scenario: The answer to a watch arrives after a newer change from the reader
    Given 2 balancers that follow the store
    When a member restarts and the answer to its first watch takes 500 ms
    And 11 ms go by
    And a target starts
    And 200 ms go by
    And the last target ends
    Then after 6000 ms no balancer lacks a change

  Scenario: A listing arrives after a newer change from another reader
    Given 3 balancers that follow the store
    When the reader is killed
    And a target starts
    And the history is lost
    And each page of a listing takes 400 ms for the member that would yield
    And both members list the targets, the one that would yield first
    And the first target ends
    Then after 6000 ms no balancer lacks a change

  Scenario: Parts of a change of the configuration come from two readers
    Given 3 balancers that follow the store
    When 20 routes are added
    And 1000 ms go by
    And two balancers read and the third gets every part from one of them
    And 24 routes are dropped
    Then after 3000 ms no balancer lacks a change

  # After a restore, copies of the former history are read for a while.

  Scenario: A start with a configuration of a former era
    Given 1 balancers that follow the store
    When a route changes
    And 1000 ms go by
    And the store comes back from its copy of 500 ms ago
    And the reader restarts with targets 0 ms and a configuration 3000 ms old
    Then after 6000 ms no balancer lacks a change

  Scenario: The pages of a first listing are of two eras
    Given 2 balancers that follow the store
    When a target starts
    And the last target ends
    And 1000 ms go by
    And copies of the former history are not read any more
    And a member restarts and the store comes back from its copy of 3000 ms ago
    And 3000 ms go by
    And a target starts
    And a target starts
    Then after 14000 ms no balancer lacks a change

  Scenario: The reader dies in a new era before a route changes
    Given 2 balancers that follow the store
    When changes of the targets don't reach the members
    And the store comes back from its copy of 0 ms ago
    And the members have learned of the new era
    And the reader is killed
    And a route changes
    Then after 14000 ms no balancer lacks a change

  Scenario: The reader restarts before what a restored copy lacks is settled
    Given 2 balancers that follow the store
    When the store comes back from its copy of 0 ms ago
    And the last target ends
    And the members have learned of the new era
    And 1000 ms go by
    And the reader restarts with targets 0 ms and a configuration 0 ms old
    And the member stands still until the reader reads again
    Then after 14000 ms no balancer lacks a change

  Scenario: The reader dies before what it kept from a restored copy is settled
    Given 2 balancers that follow the store
    When the store comes back from its copy of 0 ms ago
    And the last target ends
    And the members have learned of the new era
    And 200 ms go by
    And a member restarts
    And 1500 ms go by
    And the reader is killed
    Then after 14000 ms no balancer lacks a change

  Scenario: The reader dies after a delta has handed over what it kept
    Given 2 balancers that follow the store
    When beacons don't reach the members
    And the store comes back from its copy of 0 ms ago
    And a member restarts with targets 3000 ms old
    And 50 ms go by
    And the last target ends
    And the reader has listed the targets of the new era
    And the reader is killed
    Then after 14000 ms no balancer lacks a change

  Scenario: Any order of changes and faults
    Then with 150 seeds no change is lost, old reads come from several copies and name the revision of their copy

  Scenario: Any order of changes and faults, with listings from one copy
    Then with 150 seeds no change is lost, old reads come from one copy and name the revision of their copy

  Scenario: Any order of changes and faults, with old reads that name the newest revision
    Then with 60 seeds no change is lost, old reads come from one copy and name the newest revision

  Scenario: Any order of changes and faults, where members pass changes on
    Given data centres of 2 members and more have relays
    Then with 30 seeds no change is lost, old reads come from several copies and name the revision of their copy

  Scenario: Orders in which changes were lost once
    Then with the seeds 91, 224, 242, 264, 346, 363, 498, 524, 525, 562, 639, 644 no change is lost
    And with the seeds 666, 714, 738, 778, 787, 794, 868, 895, 956, 977 no change is lost
    And with the seeds 178, 267, 305, 4255, 6723, 8775 no change is lost

  Scenario: A target that starts again while a restored copy is settled stays listed
    Then with the seeds 4333 no change is lost

  Scenario: The search notices positions that come from old reads
    Then with 20 seeds positions that come from old reads lose changes at times
