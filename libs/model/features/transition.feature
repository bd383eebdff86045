Feature: Transition from one template to the next

  Background:
    Given a template of two workspaces
    And the template has these changes
      | place                                            | value     |
      | workspaces.alpha.services.front.targets.2.state  | "leaving" |
      | retired | [{"address": "127.20.9.9:7001", "workspace": "alpha", "retired_at": "2026-12-03T21:00:00Z"}] |

  Scenario: Added, leaving and removed targets are distinguished
    When the next template has these changes
      | place                                             | value             |
      | workspaces.alpha.services.front.targets.2.name    | "front-9"         |
      | workspaces.alpha.services.front.targets.2.address | "127.20.1.9:7001" |
      | workspaces.alpha.services.front.targets.1.state   | "leaving"         |
    Then only "alpha/front" changes: "front-9" added, "front-3" removed, "front-2" leaving
    And the version "rises", with "127.20.9.9:7001" in quarantine for 600 s

  Scenario Outline: A single fault of the transition is the only finding
    When the next template has <value> at <place>
    Then the only transition finding says "<reason>"

    Examples:
      | place                                             | value             | reason                                 |
      | version                                           | 1                 | doesn't rise above 1                   |
      | workspaces.alpha.services.front.targets.2         | nothing           | has no entry here                      |
      | retired                                           | []                | dropped 600 s before                   |
      | retired.0.retired_at                              | "2026-12-03T20:59:59Z" | dropped 600 s before              |

  Scenario: Removing an active target is a finding
    When the next template has these changes
      | place                                             | value   |
      | workspaces.alpha.services.back                    | nothing |
    Then the transition has the findings "127.20.2.1:7001 left alpha; back-1 is removed without"

  Scenario Outline: A retired entry may be removed once its quarantine is over
    When the next template has these changes
      | place                                             | value     |
      | published_at                                      | "<time>"  |
      | retired                                           | []        |
    Then the transition has the findings "<findings>"

    Examples:
      | time                 | findings           |
      | 2026-12-03T21:09:59Z | dropped 1 s before |
      | 2026-12-03T21:10:00Z |                    |

  Scenario: An address may return to the workspace that retired it
    When the next template has these changes
      | place                                             | value     |
      | retired                                           | []        |
      | workspaces.alpha.services.front.targets.3 | {"name": "f", "address": "127.20.9.9:7001", "data_centre": "d"} |
    Then the transition has the findings ""

  Scenario: An address that changes workspace without being retired is a finding
    When the next template has these changes
      | place                                             | value             |
      | workspaces.alpha.services.front.targets.2         | nothing           |
      | workspaces.beta.services.front.targets.2 | {"name": "f", "address": "127.20.1.3:7001", "data_centre": "d"} |
    Then the transition has the findings "moves from alpha without an entry in retired"
    And "127.20.1.3:7001" has moved from "alpha" to "beta"
