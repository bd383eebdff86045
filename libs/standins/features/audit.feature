Feature: The audit joins ledgers with what callers were told

  Scenario: A clean run passes
    Given a command that ran and was answered
    Then every count that must be 0 is 0
    And the audit passes

  Scenario: Nothing answered doesn't pass
    Given nothing was called
    Then the audit doesn't pass

  Scenario Outline: Each fault has its count
    Given a command that ran and was answered
    And <fault>
    Then <count> is 1 and the others that must be 0 are 0
    And the audit doesn't pass

    Examples:
      | fault                                              | count                |
      | the ledger holds the command twice                 | doubled              |
      | the caller was told that it wasn't run             | told_not_run_but_ran |
      | the caller was told that it can't be served        | told_not_run_but_ran |
      | the ledger doesn't hold the command                | wrong_answers        |
      | the caller got another call's answer               | wrong_answers        |
      | a line was notified of another resource            | wrong_answers        |
      | a line broke                                       | lines_broken         |
      | a request named another workspace                  | crossed_workspaces   |
      | the other tenant's upstream served the line's path | crossed_workspaces   |

  Scenario: A command run by the other tenant's upstream has crossed
    Given a command that ran and was answered
    And the other tenant's upstream ran the command instead
    Then crossed_workspaces is 1
    And wrong_answers is 1

  Scenario Outline: What callers are told is counted
    Given a command that ran and was answered
    And another command was told <told>
    Then <told> is 1
    And the audit passes

    Examples:
      | told    |
      | refused |
      | unknown |
      | failed  |

  Scenario: Latencies are given for each service
    Given 100 answered commands that took 1 to 100 ms
    Then the percentiles of pivot-link are 50, 99 and 100 ms

  Scenario: A line that isn't a run is found with its place
    Given a ledger whose second line is cut
    Then the finding names the file and line 2
