Feature: Open lines at their home

  Background:
    Given a balancer that serves
    And an open line

  Scenario: A line with rare notifications keeps its registration
    When the target sends nothing for 10000 ms
    Then nothing is sent to a target for the line

  Scenario: A silent line is checked at its target
    When the target sends nothing for 16000 ms
    Then its registration is refreshed, with the same token

  Scenario: A line whose refresh isn't answered is registered from a new socket
    When the target sends nothing for 18000 ms
    Then it is registered again, from another socket

  Scenario: A line whose refresh is answered keeps its registration
    When the target sends nothing for 16000 ms
    And the target notifies
    And the target sends nothing for 10000 ms
    Then nothing is sent to a target for the line

  Scenario: A line that all targets shed is refused
    Given 3 targets
    When a caller opens another line, and every target sheds what it gets
    Then each target was asked once
    And the caller is refused

  Scenario: A line whose target leaves waits for targets that shed it
    Given 3 targets, 1 of which is leaving
    When every target sheds what it gets for 5000 ms, and wants 2 s of pause
    Then the 2 others were asked at most 3 times each
    When a target takes the line
    Then it has left the target that is leaving
