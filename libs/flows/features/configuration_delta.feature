Feature: Members apply changes of the configuration that a reader sends

  Scenario: A change leads from any configuration to any other
    Then for 300 pairs of configurations the delta leads from one to the other

  Scenario Outline: Parts are applied together, in any order
    Given a member with version 4
    When the parts <order> of a change from 4 to 7 in 3 parts arrive
    Then version <version> is in force

    Examples:
      | order      | version |
      | 0, 1, 2    | 7       |
      | 2, 0, 1    | 7       |
      | 0, 0, 1, 2 | 7       |
      | 0, 2       | 4       |
      | 1, 1, 1    | 4       |

  Scenario Outline: A change of another version is not applied
    Given a member with version <known>
    When the parts 0, 1, 2 of a change from 4 to 7 in 3 parts arrive
    Then version <known> is in force

    Examples:
      | known |
      | 3     |
      | 5     |
      | 7     |
      | 9     |

  Scenario: A change that falls back is not applied
    Given a member with version 4
    When the parts 0, 1, 2 of a change from 4 to 3 in 3 parts arrive
    Then version 4 is in force

  Scenario: A member without a configuration fetches it
    Given a member without a configuration
    When the parts 0, 1, 2 of a change from 4 to 7 in 3 parts arrive
    Then no version is in force

  Scenario: A large change is fetched
    Then a change of 400 routes yields no delta

  Scenario: Parts of two readers aren't put together
    Given a member with 20 routes
    When two readers send parts of a change that removes them in different orders
    Then the routes are whole, before or after the change

  Scenario: A change that doesn't lead to the reader's routes isn't applied
    Given a member with 20 routes, one of which is another one's
    When a reader sends a change that adds a route
    Then the change isn't applied
