Feature: Sections of a template

  Scenario: Any template is the same once split and joined
    When random templates are split and joined
    Then each has the digest that it had before

  Scenario: A change of one target changes one section
    Given a template of two workspaces
    When one target of "beta/front" changes its slots
    Then only the section "beta/front" differs

  Scenario: Everything wrong with sections is reported together
    Given a template of two workspaces
    When its sections come back with one missing, one cut and one too many
    Then these findings are reported
      | place       | reason          |
      | alpha/front | not JSON        |
      | alpha/back  | missing         |
      | other/front | not listed      |

  Scenario: Sections of any bytes never raise
    When sections of random bytes are joined
    Then each result is a document or findings
