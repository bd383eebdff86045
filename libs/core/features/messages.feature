Feature: Messages between balancers

  Scenario: A member record keeps the order of its fields
    Given a member record
    When it is converted to a tuple and back
    Then the record is the same
