Feature: The decisions of a run can be looked up

  Scenario: A refused, a moved and a retried request name their reasons
    Given a run in which targets shed and one is drained
    Then "explain" names these decisions and reasons
      | what      | why                     |
      | retried   | the target shed it      |
      | refused   | shed by the target      |
      | line move | the former target is    |
