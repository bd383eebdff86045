Feature: A flow whose SYN two targets answered stays at the first

  Background:
    Given a balancer with 3 targets
    And a flow whose SYN and copy were answered by two targets

  Scenario: Its packets go to the target whose answer the caller acknowledged
    When the caller acknowledges the first target
    And sends data with the cookie of the second
    Then the data goes to the first target
    And the flow counts at the first target only
    And no member is told that flows were rehashed

  Scenario: Another flow from the same port goes to the target of its cookie
    When the caller acknowledges the first target
    And sends data of another flow with the cookie of the second
    Then the data goes to the second target

  Scenario: A flow that opened at the second target stays there
    When the caller acknowledges the second target
    And sends data with the cookie of the second
    Then the data goes to the second target
