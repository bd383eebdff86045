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
