Feature: A data centre is emptied in a running deployment

  Scenario: New flows go elsewhere, open flows stay
    Given a running deployment that follows the store
    When 8 flows send a request
    And the callers' data centre is emptied
    Then new flows reach only the other data centre within 1 s
    And every flow gets an answer to its next request
    And no flow was reset
    When the callers' data centre is taken back
    Then new flows reach the callers' data centre within 1 s

  Scenario: All balancers are killed while a data centre is emptied
    Given a running deployment that follows the store
    When the callers' data centre is emptied
    And all balancers are killed and restarted
    Then new flows reach only the other data centre within 1 s

  Scenario: A balancer starts while the store answers nobody
    Given a running deployment that follows the store
    When the callers' data centre is emptied
    And new flows reach only the other data centre within 1 s
    And the store is silent for every balancer
    And a balancer is killed and restarted
    Then it is back in rotation within 10 s
    And new flows reach only the other data centre within 1 s

  Scenario: The store hides it from the watches of a data centre
    Given a running deployment that follows the store
    When the store hides evacuations from the watches of a data centre
    And the callers' data centre is emptied
    Then new flows reach only the other data centre within 6 s
    When the callers' data centre is taken back
    Then new flows reach the callers' data centre within 12 s

  Scenario: All data centres are emptied
    Given a running deployment that follows the store
    When both data centres are emptied
    Then new flows are reset within 1 s
    And the logs give "evacuated" as the reason
