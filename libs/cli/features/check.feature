Feature: Checking and rendering on the command line

  Background:
    Given the example rendered with version 1 to "filled.json"

  Scenario: Five faults of a template are all named
    Given "filled.json" has five faults
    When "check filled.json" is run
    Then the exit status is 1
    And the output names
      | text                                                     |
      | version                                                  |
      | pivot-link.targets[0].slots                              |
      | pivot-link.targets[1].adress                             |
      | usage-ledger.entry_port                                  |
      | pack-vault.targets[2].address                            |

  Scenario: A program reads the findings as JSON
    Given "filled.json" has five faults
    When "check filled.json --json" is run
    Then the exit status is 1
    And the JSON output has 5 findings and isn't accepted

  Scenario: A following template is compared with the one in force
    Given the example rendered with version 2 to "next.json"
    And "pivot-link-7" is leaving in "next.json"
    When "check next.json --against filled.json" is run
    Then the exit status is 0
    And the output names
      | text                      |
      | version 1 to 2: rises     |
      | pivot-link-7              |

  Scenario: The platform's template is compared with
    Given a platform that publishes "filled.json"
    When "check filled.json --json --against PLATFORM" is run
    Then the exit status is 1
    And the output names
      | text                     |
      | 1 doesn't rise above 1   |

  Scenario: Settings are checked
    When "check --settings EXAMPLES/tifton-1.settings.json" is run
    Then the exit status is 0

  Scenario Outline: The exit status tells what went wrong
    When "<command>" is run
    Then the exit status is <status>
    And the error says "<text>"

    Examples:
      | command                                              | status | text                     |
      | check absent.json                                    | 2      | No such file             |
      | check filled.json --settings --against filled.json   | 2      | compares templates       |
      | check filled.json --against absent.json              | 3      | can't be read            |
      | check filled.json --against http://CLOSED            | 3      | no connection            |
      | render SOURCE --set version                          | 2      | not name=value           |
      | render SOURCE --set version=1 --set version=2        | 2      | given twice              |
      | render SOURCE --set version=x                        | 1      | parameters.published_at  |
      | render SOURCE --set version=0 --set published_at=now | 1      | version: 0 is not        |
      | status CLOSED --timeout 0.2                          | 3      | no answer from 127.0.0.1 |
      | status localhost:1                                   | 2      | not IP:port              |
      | status CLOSED --count 2                              | 2      | needs --watch            |
      | completion tcsh                                      | 2      | tcsh                     |

  Scenario Outline: Every command explains itself with examples
    When "<command> --help" is run
    Then the exit status is 0
    And the output names
      | text                    |
      | Examples:               |
      | lagoontally <command>   |

    Examples:
      | command    |
      | check      |
      | render     |
      | status     |
      | explain    |
      | drain      |
      | completion |

  Scenario: The program runs as a module
    When the module is run with "completion fish"
    Then the exit status is 0
    And the output names
      | text                  |
      | _LAGOONTALLY_COMPLETE |
