Feature: Messages between balancers

  Scenario: The record of a member keeps its fields in order
    Given a member record
    When it is turned into a plain tuple and back
    Then the record is the same
