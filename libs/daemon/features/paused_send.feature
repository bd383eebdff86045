Feature: A process that pauses between a decision and its execution

  Scenario Outline: A request that was decided before a pause isn't sent
    When a request that was decided <age> ms ago is executed
    Then it <result>

    Examples:
      | age  | result                             |
      | 0    | is sent                            |
      | 2000 | isn't sent, and the core hears so  |
