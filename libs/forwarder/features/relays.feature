Feature: A balancer passes a reader's changes on

  Scenario: It knows the members
    Given a balancer that knows the members 10.0.0.2, 10.0.0.3
    When a reader asks it to pass a change on to 10.0.0.2, 10.0.0.3
    Then it handles the change
    And it passes it on to 10.0.0.2, 10.0.0.3 and acknowledges that

  Scenario: It doesn't know one of them yet
    Given a balancer that knows the members 10.0.0.2
    When a reader asks it to pass a change on to 10.0.0.2, 10.0.0.3
    Then it handles the change
    And it sends nothing

  Scenario: Other messages and many hosts aren't passed on
    Given a balancer that knows the members 10.0.0.2
    When the datagram ["Relayed",1,["10.0.0.2"],["DealtAnew"]] arrives there
    And a reader asks it to pass a change on to 17 times 10.0.0.2
    Then it sends nothing
