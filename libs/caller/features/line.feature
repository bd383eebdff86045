Feature: An open line

  Scenario Outline: Notifications keep the order of their sequence
    Given a line that was last heard at <last>
    When notification <next> comes
    Then it is <taken>

    Examples:
      | last     | next     | taken     |
      | 5        | 6        | delivered |
      | 5        | 5        | ignored   |
      | 5        | 4        | ignored   |
      | 16777215 | 0        | delivered |
      | 0        | 16777215 | ignored   |
      | 5        | 8388612  | delivered |
      | 5        | 8388614  | ignored   |

  Scenario: An old sequence number counts again after 128 s
    Given a line that was last heard at 5
    When 129 s pass in which renewals fail
    And notification 4 comes
    Then it is delivered

  Scenario: A line registers anew with the Echo that it was asked for
    Given a line that was never heard
    When its registration is answered by 4.01 with an Echo
    Then it registers with that Echo under a new token
    When its registration is answered by notification 1
    Then the line is open

  Scenario: A renewal keeps the token and carries the newest Echo
    Given a line that was last heard at 5
    When 30 s pass
    Then it registers with that Echo under the same token
    And the line is renewing
    When its registration is answered by notification 6
    Then the line is open

  Scenario: A renewal finds its home again while calls go to another one
    Given a line that was last heard at 5
    When a call on the same path is given another Echo
    And 30 s pass
    Then it registers with the line's Echo under the same token

  Scenario: A line that moves leaves the home that its Echo names
    Given a line that was last heard at 5
    When a call on the same path is given another Echo
    And 36 s pass
    Then it registers with the call's Echo under a new token

  Scenario: The answer of a renewal may count from a lower number
    Given a line that was last heard at 500
    When 30 s pass
    And its registration is answered by notification 3
    Then it is delivered

  Scenario: A renewal without an answer moves the line to a new socket
    Given a line that was last heard at 5
    When 36 s pass
    Then the line has moved 1 times and has 0 breaks

  Scenario: Silence breaks a line once for each interval
    Given a line that was last heard at 5
    When 46 s pass
    Then the line is broken
    And the line has moved 3 times and has 1 breaks
    When its registration is answered by notification 1
    Then the line is open
    And the line has moved 3 times and has 1 breaks

  Scenario: A refused registration waits as long as it was told
    Given a line that was never heard
    When its registration is refused for 20 s
    And 19 s pass
    Then it hasn't registered again
    When 12 s pass
    Then it has registered again
