@fixture.deployment
Feature: Requests from a caller through the balancers to an upstream

  Scenario: A stock client's command runs after it returns the Echo
    Given a stock client
    When it sends the command "c1"
    Then it is answered 4.01 with an Echo
    And "c1" was run 0 times
    When it sends the command "c1" with that Echo
    Then it is answered 2.04
    And "c1" was run 1 times

  Scenario: A stock client's line keeps receiving notifications
    Given a stock client
    When it opens a line
    Then it is answered 4.01 with an Echo
    When it opens a line with that Echo
    Then it is notified 3 times in increasing order

  Scenario: Forged Echoes and datagrams that aren't requests are counted
    Given a stock client
    When it sends the command "c2"
    And it sends the command "c2" with that Echo forged
    Then it is answered 4.01 with an Echo
    And "c2" was run 0 times
    And the balancers have counted 1 "echo.forged"
    When a balancer receives malformed datagrams and unexpected responses
    Then the balancers have counted 4 "caller_malformed"
    When it sends the command "c2" with that Echo
    Then it is answered 2.04
    And "c2" was run 1 times

  Scenario: Load is offered to one balancer at a fixed rate
    When a balancer is offered 20 requests and 5 commands a second for 2 s
    Then every request is answered or counted as unanswered
    And the balancer's CPU time and memory are reported

  Scenario: An invalid template is rejected and the last valid one stays in force
    When a template is published whose target has no address
    Then each balancer logs an error that it rejected the template
    And the template in force stays
    When a newer valid template is published
    Then each balancer has it in force

  Scenario: A replaced balancer hands its lines over
    Given 4 callers with open lines
    When the balancer with the most lines is replaced
    Then each line is notified again without a break or a move

  Scenario: The operators' command queries a running balancer
    Given a stock client
    When it sends the command "c3"
    And it sends the command "c3" with that Echo
    Then the command "status" shows the members and targets
    And the command "explain" shows why some balancer chose its target
    When the command "drain" is given to a balancer
    Then that balancer hands over and exits
