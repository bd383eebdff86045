Feature: A dispatcher chooses the targets of a service

  Background:
    Given 3 balancers that know each other and a service of 3 targets

  Scenario: Requests at different balancers fill the slots evenly
    When each balancer gets 2 requests
    Then each target has 2 requests

  Scenario: A silent dispatcher costs one wait
    Given the dispatcher is silent
    When another balancer gets 1 requests
    Then 0 requests have been sent
    When 100 ms pass
    Then 1 requests have been sent
    When another balancer gets 1 requests
    Then 2 requests have been sent

  Scenario: A choice of a leaving target isn't followed
    Given the other balancers hold all but the last target as leaving
    When another balancer gets 4 requests
    Then only the last target has requests

  Scenario: Nothing is sent after a pause between the question and the choice
    Given the dispatcher is silent
    When another balancer gets 1 requests
    And it is paused for 2000 ms
    And the dispatcher's choice arrives
    Then 0 requests have been sent
    And the caller hears that nothing was run

  Scenario: A target that sheds is left alone for a second
    When the dispatcher gets 3 requests
    And the first target sheds and the others answer
    And the dispatcher gets 2 requests
    Then the first target has gained nothing
    When 1100 ms pass
    And the dispatcher gets 2 requests
    Then the first target has gained something

  Scenario: What a dispatcher never hears of is forgotten
    When another balancer gets 3 requests
    And 12000 ms pass
    Then the dispatcher counts 0 requests

  Scenario: A service that keeps flows on their targets is only admitted
    Given the service keeps flows on their targets
    When one caller sends 6 requests at once
    Then 6 requests have been sent
    And all requests went to one target

  Scenario: One caller's storm leaves room for the others
    When one caller sends 60 requests at once
    Then 51 of them hear at once when to come back, at different times
    And the requests of 6 other callers are all sent

  Scenario: No more than half of the targets are closed
    When every target but one is silent again and again
    Then 2 targets may be chosen
