Feature: Filling in a workspace template

  Scenario: The example is accepted once it is filled in
    Given the example of both tenants
    When it is filled in with a version and a time
    Then the result is accepted as a template with these targets
      | service                             | targets |
      | pivot-command-relay/pivot-link      | 7       |
      | pivot-command-relay/usage-ledger    | 3       |
      | dossier-hub-balancing/dossier-desk  | 7       |
      | dossier-hub-balancing/pack-vault    | 4       |

  Scenario: Values missing, mistyped and unknown are reported together
    Given the example of both tenants
    When it is filled in with a version "x" and a parameter quarantin_s
    Then these findings are reported
      | place                   | reason                       |
      | parameters.version      | "x" is not an integer        |
      | parameters.published_at | missing; give a string       |
      | parameters.quarantin_s  | did you mean 'quarantine_s'? |

  Scenario Outline: A value has the type of its parameter
    When a parameter of type "<type>" is given <value>
    Then the document holds <result>

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

  Scenario: Faults of the source are reported with their places
    When a source with a placeholder that names no parameter is filled in
    Then the only finding is at "document.items[1]" and says "no parameter is named 'other'"
