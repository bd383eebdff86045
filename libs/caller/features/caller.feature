Feature: Calls over a socket

  Scenario: A command asks for an Echo once and runs once for each call
    Given a balancer that asks for Echoes
    When two commands are sent
    Then every call ends as Answered
    And the balancer ran 2 commands and asked for 1 Echo

  Scenario: A lost answer is repeated for the same datagram and runs once
    Given a balancer that asks for Echoes
    And its next answer is lost
    When a command is sent
    Then every call ends as Answered
    And the balancer ran 1 command and asked for 1 Echo

  Scenario: Answers from elsewhere are ignored and strangers are reset
    Given a balancer that asks for Echoes
    When a command is answered by a stranger first
    Then every call ends as Answered
    When the balancer sends a confirmable answer with an unknown token
    Then the caller resets it

  Scenario: A line is acknowledged, and reset once it is closed
    Given a balancer that asks for Echoes
    When a line is opened
    And the balancer notifies it by a confirmable message
    Then the caller acknowledges it
    When the line is closed
    And the balancer notifies it by a confirmable message
    Then the caller resets it

  Scenario: A closed caller ends its calls
    Given a balancer that asks for Echoes
    When a command is sent after the caller was closed
    Then every call ends as NotRun
