Feature: A dispatcher selects the targets of a service

  Background:
    Given 3 balancers that know each other and a service of 3 targets

  Scenario: Requests at different balancers fill the slots evenly
    When each balancer gets 2 requests
    Then each target has 2 requests

  Scenario: A silent dispatcher delays only the first request
    Given the dispatcher is silent
    When another balancer gets 1 requests
    Then 0 requests have been sent
    When 100 ms pass
    Then 1 requests have been sent
    When another balancer gets 1 requests
    Then 2 requests have been sent

  Scenario: A placement on a leaving target isn't applied
    Given the other balancers have all but the last target as leaving
    When another balancer gets 4 requests
    Then only the last target has requests

  Scenario: Nothing is sent after a pause between the request to the dispatcher and its answer
    Given the dispatcher is silent
    When another balancer gets 1 requests
    And it is paused for 2000 ms
    And the dispatcher's placement arrives
    Then 0 requests have been sent
    And the caller is answered that nothing was run

  Scenario: A target that sheds gets no requests for a second
    When the dispatcher gets 3 requests
    And the first target sheds and the others answer
    And the dispatcher gets 2 requests
    Then the first target has got no more requests
    When 1100 ms pass
    And the dispatcher gets 2 requests
    Then the first target has got more requests

  Scenario: A placed request whose outcome isn't reported expires
    When another balancer gets 3 requests
    And 12000 ms pass
    Then the dispatcher counts 0 requests

  Scenario: With flow affinity, the dispatcher only decides on admission
    Given the service keeps flows on their targets
    When one caller sends 6 requests at once
    Then 6 requests have been sent
    And all requests went to one target

  Scenario: A burst from one caller leaves capacity for the others
    When one caller sends 60 requests at once
    Then 51 of them are refused at once, with different retry delays
    And the requests of 6 other callers are all sent

  Scenario: No more than half of the targets are closed
    When every target but one fails repeatedly
    Then 2 targets may be selected
