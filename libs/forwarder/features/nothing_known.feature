Feature: A data centre that knows nothing asks the others

  Scenario: All balancers of a data centre restart while the store is away
    Given a running deployment
    When the store is busy for every balancer
    And all balancers of the other data centre are killed and restarted
    Then flows of its callers are answered within 6 s
