Feature: Sections of a template

  Scenario: Splitting and joining preserves a template
    When random templates are split and joined
    Then each keeps its digest

  Scenario: A change of one target changes one section
    Given a template of two workspaces
    When one target of "beta/front" changes its slots
    Then only the section "beta/front" differs

  Scenario: All faults of sections are reported together
    Given a template of two workspaces
    When its sections are joined with one missing, one truncated and one unlisted
    Then these findings are reported
      | place       | reason          |
      | alpha/front | not JSON        |
      | alpha/back  | missing         |
      | other/front | not listed      |

  Scenario: Joining sections of arbitrary bytes never raises
    When sections of random bytes are joined
    Then each result is a document or findings
