Feature: The store comes back from an older copy

  Scenario Outline: The new history is followed in every data centre
    Given <count> balancers that have run for 5000 ms
    When 60 changes are made and the store comes back from a copy before them
    And <writes> other items are written to the store
    And the targets change
    And 4000 ms pass for the fleet
    Then every balancer follows the present era
    And every balancer knows the targets
    When the targets change
    And the configuration changes
    And 1000 ms pass for the fleet
    Then every balancer knows the targets
    And every balancer has the configuration

    Examples:
      | count | writes |
      | 1     | 0      |
      | 1     | 90     |
      | 12    | 0      |
      | 12    | 90     |
      | 45    | 0      |
      | 45    | 90     |

  Scenario: A new era costs little more than a lost history
    Given 45 balancers that have run for 5000 ms
    When 60 changes are made and the store comes back from a copy before them
    Then 10000 ms cost at most 18 calls to the store

  Scenario: The store comes back twice while a third of the balancers are cut off
    Given 12 balancers that have run for 5000 ms
    When the store stops answering 4 balancers
    And 2000 ms pass for the fleet
    And 60 changes are made and the store comes back from a copy before them
    And 2000 ms pass for the fleet
    And 60 changes are made and the store comes back from a copy before them
    And 2000 ms pass for the fleet
    And the store answers every balancer
    And the targets change
    And 4000 ms pass for the fleet
    Then every balancer follows the present era
    And every balancer knows the targets
    And every balancer has the configuration

  Scenario: The reader dies as it learns of the new era
    Given 12 balancers that have run for 5000 ms
    When 60 changes are made and the store comes back from a copy before them
    And 20 ms pass for the fleet
    And the reader dies
    And the targets change
    And the configuration changes
    And 6000 ms pass for the fleet
    Then every balancer follows the present era
    And every balancer knows the targets
    And every balancer has the configuration

  Scenario: Members that miss the delta between the eras fetch the targets
    Given 12 balancers that have run for 5000 ms
    When 60 changes are made and the store comes back from a copy before them
    And 3 balancers miss the next delta
    And 2500 ms pass for the fleet
    Then every balancer follows the present era
    And every balancer knows the targets

  Scenario: A balancer that starts in the gap
    Given 12 balancers that have run for 5000 ms
    When 60 changes are made and the store comes back from a copy before them
    And a balancer starts
    And the targets change
    And 3000 ms pass for the fleet
    Then every balancer follows the present era
    And every balancer knows the targets
    And every balancer has the configuration

  Scenario: Any order of restores, changes, losses, cuts, restarts and deaths
    Then with 400 seeds every balancer follows the newest era after 6000 ms

  Scenario: The search notices a history that ignores eras
    Then with 40 seeds a history that ignores eras ends with lost changes at times

  Scenario Outline: A listing of a restored copy changes only what it can know
    Given a view with targets a and b, a leaving target c and a delisted target d
    When the store lists <listed> from its copy, settled <step> times
    Then the view has <view>

    Examples:
      | listed          | step | view                  |
      | a, b, c         | 0    | a, b, c leaving       |
      | a               | 0    | a, b, c leaving       |
      | a, b, c, d      | 0    | a, b, c leaving       |
      | a, e            | 0    | a, b, c leaving, e    |
      | a               | 1    | a                     |
      | a, b, c, d      | 1    | a, b, c leaving       |
      | a, b, c, d      | 2    | a, b, c leaving, d    |

  Scenario: A target that was delisted and writes its entry again is used
    Given a view with targets a and b, a leaving target c and a delisted target d
    When the store lists a, b, c, d from its copy, settled 0 times
    And the entry of d is written
    Then the view has a, b, c leaving, d

  Scenario: What a peer knows to be leaving is leaving
    Given a view with targets a and b, a leaving target c and a delisted target d
    When an older copy of a peer says that b is leaving
    Then the view has a, b leaving, c leaving

  Scenario Outline: Responses of an ended era change nothing
    Given a reader at revision 100 of era 3
    When a response names era <era>
    Then the response is <result>, the reader at revision 100 of era <known>

    Examples:
      | era  | result  | known |
      | 3    | current | 3     |
      | none | current | 3     |
      | 2    | ended   | 3     |
      | 4    | began   | 3     |

  Scenario Outline: A delta between eras leads only to the reader's targets
    Given a follower whose view is at revision <known> of era <era>
    When a delta to revision 60 of era 4 arrives that leads to <content> targets
    Then it is <outcome>

    Examples:
      | known | era | content | outcome     |
      | 100   | 3   | equal   | applied     |
      | 100   | 3   | other   | not applied |
      | 99    | 3   | other   | not applied |
      | 101   | 3   | other   | not applied |
      | 55    | 4   | other   | not applied |
      | 55    | 4   | equal   | applied     |
      | 61    | 4   | equal   | not applied |
      | 60    | 4   | equal   | not applied |
      | 10    | 5   | equal   | not applied |
