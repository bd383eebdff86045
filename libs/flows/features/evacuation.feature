Feature: An operator empties a data centre

  # What callers see

  Scenario: New flows go to the data centres that remain
    Given a balancer with 4 targets and 2 remote ones
    When "tifton" is emptied
    Then 8 new flows go to remote targets, and to none more than 4
    When "tifton" is no longer emptied
    Then a new flow goes to a local target

  Scenario: Open flows stay
    Given a balancer with 1 targets and 2 remote ones
    And a flow to a local target
    When "tifton" is emptied
    Then packets of the flow go to its target
    And a copy of its SYN is dropped after 500 ms

  Scenario: A copy of a SYN goes elsewhere
    Given a balancer with 1 targets and 2 remote ones
    And a SYN that a local target got
    When "tifton" is emptied
    Then a copy of the SYN is dropped after 10 ms
    And a copy of the SYN goes to a remote target after 200 ms

  Scenario: A copy of a SYN that has nowhere to go
    Given a balancer with 1 targets and 1 remote ones
    And a SYN that a local target got
    When "tifton" is emptied
    And "camilla" is emptied
    Then a copy of the SYN is reset as "evacuated" after 200 ms

  Scenario: A copy of a SYN whose targets that remain were tried
    Given a balancer with 1 targets and 1 remote ones
    And a SYN that a local target got
    Then a copy of the SYN goes to a remote target after 200 ms
    When "camilla" is emptied
    Then a copy of the SYN is reset as "evacuated_rest_unreachable" after 200 ms

  Scenario: All data centres are emptied
    Given a balancer with 2 targets and 2 remote ones
    When "tifton" is emptied
    And "camilla" is emptied
    And the platform doesn't answer for 2000 ms
    Then 10 SYNs are reset as "evacuated"
    And the balancer stays in the rotation

  Scenario: One data centre is emptied and the rest is cut off
    Given a balancer with 2 targets and 2 remote ones
    When "tifton" is emptied
    And the platform doesn't answer for 2000 ms
    And all remote targets are found dead
    Then 10 SYNs are reset as "evacuated_rest_unreachable"
    And the balancer leaves the rotation

  Scenario: A balancer of an emptied data centre knows of the cut before its callers
    Given a balancer with 2 targets and 2 remote ones
    When 1 flows are opened
    And "tifton" is emptied
    And the platform doesn't answer for 2000 ms
    And all remote targets are found dead
    And 100 ms pass
    Then the balancer leaves the rotation

  Scenario: One of the remote targets is reached from an emptied data centre
    Given a balancer with 2 targets and 2 remote ones
    When 1 flows are opened
    And "tifton" is emptied
    And the platform doesn't answer for 2000 ms
    And one remote target is found dead
    And 100 ms pass
    Then the balancer stays in the rotation

  Scenario: Delisted targets of an emptied data centre
    Given a balancer with 4 targets and 2 remote ones
    When "tifton" is emptied
    And the local targets are no longer listed
    Then 4 new flows go to remote targets, and to none more than 2

  Scenario: Delisted targets of a data centre that remains
    Given a balancer with 6 targets and 2 remote ones
    When "tifton" is emptied
    And the remote targets are no longer listed
    Then 4 new flows go to remote targets, and to none more than 2

  Scenario: A data centre that doesn't exist
    Given a balancer with 2 targets and 2 remote ones
    When "nowhere" is emptied
    Then a line says that "nowhere" is emptied and has 0 targets
    And a new flow goes to a local target
