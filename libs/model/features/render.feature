Feature: Rendering a workspace template

  Scenario: The rendered example is a valid template
    Given the example with two tenants
    When it is rendered with a version and a publication time
    Then the result is accepted as a template with these targets
      | service                             | targets |
      | pivot-command-relay/pivot-link      | 7       |
      | pivot-command-relay/usage-ledger    | 3       |
      | dossier-hub-balancing/dossier-desk  | 7       |
      | dossier-hub-balancing/pack-vault    | 4       |

  Scenario: Missing, mistyped and unknown values are reported together
    Given the example with two tenants
    When it is rendered with a version "x" and a parameter quarantin_s
    Then these findings are reported
      | place                   | reason                       |
      | parameters.version      | "x" is not an integer        |
      | parameters.published_at | missing; give a string       |
      | parameters.quarantin_s  | did you mean 'quarantine_s'? |

  Scenario Outline: A value must have the type of its parameter
    When a parameter of type "<type>" is given <value>
    Then the rendered value is <result>

    Examples:
      | type    | value  | result   |
      | integer | "3"    | 3        |
      | integer | 3      | 3        |
      | integer | 3.5    | findings |
      | integer | true   | findings |
      | number  | "0.5"  | 0.5      |
      | number  | "NaN"  | findings |
      | boolean | "true" | true     |
      | boolean | 1      | findings |
      | string  | "3"    | "3"      |
      | string  | 3      | findings |

  Scenario: Faults of the source are reported with their paths
    When a source with an undeclared placeholder is rendered
    Then the only finding is at "document.items[1]" and says "no parameter is named 'other'"
