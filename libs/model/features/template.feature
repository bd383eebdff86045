Feature: Validation of a template

  Background:
    Given a template of two workspaces

  Scenario: A valid template is returned in its typed form
    When the template is parsed
    Then it is accepted with 3 targets in "alpha/front"

  Scenario: Five faults are reported together, each with its path
    Given the template has these changes
      | place                                           | value              |
      | version                                         | 0                  |
      | workspaces.alpha.services.front.targets.0.slots | "two"              |
      | workspaces.alpha.services.front.targets.1.adres | "127.20.1.9:7001"  |
      | workspaces.alpha.services.back.targets.0.address| "localhost:7001"   |
      | workspaces.beta.services.front.entry_port       | 5701               |
    When the template is parsed
    Then these findings are reported
      | place                                              | reason                                |
      | version                                            | positive integer below 2**32          |
      | workspaces.alpha.services.front.targets[0].slots   | "two" is not an integer of at least 1 |
      | workspaces.alpha.services.front.targets[1].adres   | did you mean 'address'?               |
      | workspaces.alpha.services.back.targets[0].address  | not IP:port in numbers                |
      | workspaces.beta.services.front.entry_port          | already used at workspaces.alpha      |

  Scenario Outline: A single fault is reported with its path
    Given "<field>" of the template is <value>
    When the template is parsed
    Then the only finding is at "<place>" and says "<reason>"

    Examples:
      | field                                            | value               | place                                             | reason                 |
      | version                                          | 4294967296          | version                                           | below 2**32            |
      | version                                          | 1.0                 | version                                           | below 2**32            |
      | version                                          | true                | version                                           | below 2**32            |
      | format                                           | 2                   | format                                            | one of 1               |
      | published_at                                     | "2026-12-03T21:00"  | published_at                                      | time zone              |
      | quarantine_s                                     | -1                  | quarantine_s                                      | whole number           |
      | workspaces.alpha.tenant                          | "Alpha"             | workspaces.alpha.tenant                           | a name of 1 to 63      |
      | workspaces.alpha.tenant                          | "alpha\n"           | workspaces.alpha.tenant                           | a name of 1 to 63      |
      | workspaces.a_b                                   | {"tenant": "t", "services": {}} | workspaces.a_b                        | a name of 1 to 63      |
      | workspaces.alpha.services.front.placement        | "sticky"            | workspaces.alpha.services.front.placement         | "flow", "request"      |
      | workspaces.alpha.services.front.imbalance_weight | 1.01                | workspaces.alpha.services.front.imbalance_weight  | from 0 to 1            |
      | workspaces.alpha.services.front.targets          | []                  | workspaces.alpha.services.front.targets           | must be active         |
      | workspaces.alpha.services.back.targets.0.state   | "leaving"           | workspaces.alpha.services.back.targets            | must be active         |
      | workspaces.alpha.services.front.targets.0.name   | "front-2"           | workspaces.alpha.services.front.targets[1].name   | already used           |
      | workspaces.beta.services.front.targets.0.address | "127.20.1.1:7001"   | workspaces.beta.services.front.targets[0].address | already used           |
      | workspaces.alpha.services.back.targets.0.address | "127.20.1.1:07001"  | workspaces.alpha.services.back.targets[0].address | not IP:port            |
      | workspaces.alpha.services.back.targets.0.address | "127.20.1.1:65536"  | workspaces.alpha.services.back.targets[0].address | not IP:port            |
      | workspaces.alpha.services.back.targets.0.address | "[::1]:7001"        | workspaces.alpha.services.back.targets[0].address | not IP:port            |

  Scenario Outline: A document that can't be decoded has one finding
    When <kind> is parsed as a template
    Then the only finding is at "<place>" and says "<reason>"

    Examples:
      | kind                | place            | reason             |
      | an empty text       | line 1, column 1 | not JSON           |
      | a cut document      | line 1           | not JSON           |
      | a repeated field    | document         | given twice        |
      | an invalid encoding | document         | not JSON           |
      | an unpaired surrogate | document       | not JSON           |
      | a deep document     | document         | levels deep        |
      | a large document    | document         | at most 1000000    |
      | a list              | document         | not an object      |

  Scenario Outline: Other workspaces can't use an address in quarantine
    Given 127.20.1.1:7001 of "alpha/front" was retired by "<workspace>" at "<retired_at>"
    And the template is published at "2026-12-03T21:00:00Z" with a quarantine of 600 s
    When the template is parsed
    Then it is "<outcome>"

    Examples:
      | workspace | retired_at                    | outcome  |
      | beta      | 2026-12-03T20:50:00Z          | accepted |
      | beta      | 2026-12-03T20:50:00.000001Z   | rejected |
      | beta      | 2026-12-03T15:50:00.5-05:00   | rejected |
      | beta      | 2026-12-03T15:50:00-05:00     | accepted |
      | beta      | 2026-12-03T21:30:00Z          | rejected |
      | beta      | 9999-12-31T23:59:59-12:00     | rejected |
      | beta      | 0001-01-01T00:00:00+12:00     | accepted |
      | alpha     | 2026-12-03T21:00:00Z          | accepted |

  Scenario: Acceptance doesn't depend on the versions parsed before
    Given versions 1 to 4 of the template, of which the third reuses an address in quarantine
    When all permutations of all subsets of the versions are parsed
    Then each version always has the same outcome, and only the third is rejected

  Scenario: The types and the committed schemas accept the same structures
    When randomly changed templates and settings are checked by type and by schema
    Then both checks agree on each document

  Scenario: The committed schemas match the types
    Then each committed schema equals the generated one
