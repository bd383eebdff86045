Feature: A balancer starts and ends without losing packets

  Scenario Outline: Readiness depends on the state
    Given a balancer that has <view>
    When it is <state>
    Then it is <answer>

    Examples:
      | view    | state           | answer    |
      | a view  | running         | ready     |
      | no view | running         | not ready |
      | a view  | isolated        | not ready |
      | a view  | cut off         | not ready |
      | a view  | told to stop    | not ready |

  Scenario: A stopping balancer serves until routers have noticed
    Given a balancer that has a view
    When it is told to stop
    Then it doesn't end within 1000 ms
    And it ends within 1200 ms

  Scenario: A stopping balancer serves while packets arrive
    Given a balancer that has a view
    When it is told to stop
    And packets arrive for 3000 ms
    Then it doesn't end within 3500 ms
    And it ends within 3700 ms

  Scenario: A stopping balancer ends before it would be killed
    Given a balancer that has a view
    When it is told to stop
    And packets arrive for 9000 ms
    Then it ends within 5400 ms

  Scenario: A second stop doesn't extend the shutdown
    Given a balancer that has a view
    When it is told to stop
    And it is told to stop again 1000 ms later
    Then it ends within 1200 ms
