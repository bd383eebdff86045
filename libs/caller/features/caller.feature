Feature: Calls over a socket

  Scenario: Two commands need one Echo round and run once each
    Given a balancer that asks for Echoes
    When two commands are sent
    Then every call ends as Answered
    And the balancer ran 2 commands and asked for 1 Echo

  Scenario: A command whose answer is lost is retransmitted and runs once
    Given a balancer that asks for Echoes
    And its next answer is lost
    When a command is sent
    Then every call ends as Answered
    And the balancer ran 1 command and asked for 1 Echo

  Scenario: Answers from another address are ignored, unknown tokens are reset
    Given a balancer that asks for Echoes
    When a command is first answered from another address
    Then every call ends as Answered
    When the balancer sends a confirmable answer with an unknown token
    Then the caller resets it

  Scenario: Notifications are acknowledged, and reset once the line is closed
    Given a balancer that asks for Echoes
    When a line is opened
    And the balancer notifies it by a confirmable message
    Then the caller acknowledges it
    When the line is closed
    And the balancer notifies it by a confirmable message
    Then the caller resets it

  Scenario: A closed caller rejects calls
    Given a balancer that asks for Echoes
    When a command is sent after the caller was closed
    Then every call ends as NotRun
