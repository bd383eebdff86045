Feature: Balancer processes and targets that warm up

  A target that warms up bears 12 requests a second. The settings allow 1.5 times as many
  and 5 more.

  Scenario: A cold target gets what it bears while callers are served by others
    Given a running deployment whose settings bound cold targets
    When a target of the callers' data centre says that it is cold for 4000 ms
    And callers open 200 flows a second for 3 s
    Then every request is answered
    And the cold target got between 10 and 23 flows in every second
    When the target is warm
    And callers open 200 flows a second for 2 s
    Then the cold target got more than 23 flows in a second

  Scenario: A balancer that starts while a target is cold keeps the bound too
    Given a running deployment whose settings bound cold targets
    When a target of the callers' data centre says that it is cold for 8000 ms
    And a balancer is killed and restarted
    And callers open 200 flows a second for 6 s
    Then every request is answered
    And the cold target got between 0 and 23 flows in every second
