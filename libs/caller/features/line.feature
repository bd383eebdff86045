Feature: Lines

  Scenario Outline: Only newer notifications are delivered
    Given a line with sequence number <last>
    When notification <next> arrives
    Then it is <result>

    Examples:
      | last     | next     | result    |
      | 5        | 6        | delivered |
      | 5        | 5        | ignored   |
      | 5        | 4        | ignored   |
      | 16777215 | 0        | delivered |
      | 0        | 16777215 | ignored   |
      | 5        | 8388612  | delivered |
      | 5        | 8388614  | ignored   |

  Scenario: A notification that holds only a part of the body says so
    Given a line with sequence number 5
    When the first block of notification 6 arrives
    Then it is delivered as incomplete

  Scenario: A lower sequence number is accepted after 128 s
    Given a line with sequence number 5
    When 129 s pass in which renewals fail
    And notification 4 arrives
    Then it is delivered

  Scenario: A line answers a 4.01 by a registration with the Echo
    Given a line without notifications
    When its registration is answered by 4.01 with an Echo
    Then it registers with that Echo under a new token
    When its registration is answered by notification 1
    Then the line is open

  Scenario: A renewal keeps the token and carries the newest Echo
    Given a line with sequence number 5
    When 30 s pass
    Then it registers with that Echo under the same token
    And the line is renewing
    When its registration is answered by notification 6
    Then the line is open

  Scenario: A renewal carries the line's own Echo while calls have another home
    Given a line with sequence number 5
    When a call on the same path gets another Echo
    And 30 s pass
    Then it registers with the line's Echo under the same token

  Scenario: A line that moves drops its own Echo
    Given a line with sequence number 5
    When a call on the same path gets another Echo
    And 36 s pass
    Then it registers with the call's Echo under a new token

  Scenario: The answer to a renewal may have a lower sequence number
    Given a line with sequence number 500
    When 30 s pass
    And its registration is answered by notification 3
    Then it is delivered

  Scenario: A renewal without an answer moves the line to a new socket
    Given a line with sequence number 5
    When 36 s pass
    Then the line has moved 1 times and has 0 breaks

  Scenario: A silent line counts one break for each interval
    Given a line with sequence number 5
    When 46 s pass
    Then the line is broken
    And the line has moved 3 times and has 1 breaks
    When its registration is answered by notification 1
    Then the line is open
    And the line has moved 3 times and has 1 breaks

  Scenario: A refused registration is retried after Max-Age
    Given a line without notifications
    When its registration is refused for 20 s
    And 19 s pass
    Then it hasn't registered again
    When 12 s pass
    Then it has registered again
