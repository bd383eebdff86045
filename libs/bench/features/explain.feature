Feature: Operators can query the decisions about a caller

  Scenario: "explain" reports why a request was retried or refused and a line moved
    Given a run in which targets shed and one is drained
    Then "explain" reports these decisions and reasons
      | what      | why                     |
      | retried   | the target shed it      |
      | refused   | shed by the target      |
      | line move | the former target is    |
