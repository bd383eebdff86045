Feature: Silences of lines are judged by the faults behind them

  Scenario Outline: A fault allows a silence of a certain length
    Given a fault "<fault>" from 10 s to 12 s
    When a line is heard each second until <last> s and again from <again> s
    Then <breaches> breaches are found
    And the fault has a longest silence of <longest> s

    Examples:
      | fault     | last | again | breaches | longest |
      | planned   | 10   | 18    | 0        | 8       |
      | planned   | 10   | 19    | 1        | 9       |
      | unplanned | 10   | 20    | 0        | 10      |
      | unplanned | 10   | 21    | 1        | 11      |
      | unplanned | 9    | 19    | 0        | 10      |
      | unplanned | 5    | 13    | 0        | 0       |
      | unplanned | 5    | 15    | 1        | 0       |
      | unplanned | 29   | 30    | 0        | 0       |

  Scenario: A line that stays silent to the end is found
    Given a fault "unplanned" from 10 s to 12 s
    When a line is heard each second until 15 s and never again
    Then 1 breaches are found

  Scenario Outline: A run on a leaving target counts from the time for it
    Given a target that was leaving from 100 s to 120 s
    When "<target>" begins a run at <at> s
    Then <late> late runs are found

    Examples:
      | target | at  | late |
      | a      | 104 | 0    |
      | a      | 106 | 1    |
      | a      | 121 | 0    |
      | b      | 106 | 0    |
