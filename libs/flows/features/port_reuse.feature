Feature: A port in use again gets no reset for its former flow

  Background:
    Given a balancer with 3 targets
    And an open flow whose caller uses the port for another flow

  Scenario: The former target ends after the SYN of the new flow
    When the new flow's SYN passes through this balancer
    And the former target is found dead
    Then no reset is sent to the port

  Scenario: The former target ends after a packet of the new flow
    When a packet of the new flow passes through this balancer
    And the former target is found dead
    Then no reset is sent to the port

  Scenario: The new flow passes only through other balancers
    When the former target is found dead
    Then a reset names only what the former flow's caller has acknowledged
