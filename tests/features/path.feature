@fixture.deployment
Feature: The whole path, from a caller through the fabric to an upstream

  Scenario: A stock client's command is run once it returns an Echo
    Given a stock client
    When it sends the command "c1"
    Then it is answered 4.01 with an Echo
    And "c1" was run 0 times
    When it sends the command "c1" with that Echo
    Then it is answered 2.04
    And "c1" was run 1 times

  Scenario: A stock client's line goes on being notified
    Given a stock client
    When it opens a line
    Then it is answered 4.01 with an Echo
    When it opens a line with that Echo
    Then it is notified 3 times in rising order

  Scenario: Forged Echoes and datagrams that aren't requests are counted
    Given a stock client
    When it sends the command "c2"
    And it sends the command "c2" with that Echo forged
    Then it is answered 4.01 with an Echo
    And "c2" was run 0 times
    And the balancers have counted 1 "echo.forged"
    When a stranger sends junk and foreign answers to a balancer
    Then the balancers have counted 4 "caller_malformed"
    When it sends the command "c2" with that Echo
    Then it is answered 2.04
    And "c2" was run 1 times

  Scenario: Load is offered to one balancer at a fixed rate
    When a balancer is offered 20 requests and 5 commands a second for 2 s
    Then every one sent is answered or counted as unanswered
    And the balancer's CPU time and memory are reported

  Scenario: A faulty template is refused and the last good one stays
    When a template is published whose target has no address
    Then each balancer says loudly that it refuses the template
    And the template in force stays
    When a newer template without faults is published
    Then each balancer has it in force

  Scenario: A replaced balancer hands its lines over
    Given 4 callers with open lines
    When the balancer with the most lines is replaced
    Then each line goes on, unbroken and unmoved

  Scenario: The operators' command asks a running balancer
    Given a stock client
    When it sends the command "c3"
    And it sends the command "c3" with that Echo
    Then the command "status" shows the members and targets
    And the command "explain" shows why some balancer chose its target
    When the command "drain" is given to a balancer
    Then that balancer hands over and ends
