Feature: Checking and rendering on the command line

  Background:
    Given the example rendered with version 1 as "filled.json" and with 2 as "next.json"
    And "bad.json", which is "filled.json" with five faults
    And "unbound.json", settings with an address that no machine has
    And a platform that publishes "filled.json"

  Scenario Outline: All five faults of a template are reported
    When "<command>" is run
    Then it exits with 1 and prints "version"
    And it prints "pivot-link.targets[0].slots" and "pivot-link.targets[1].adress"
    And it prints "usage-ledger.entry_port" and "pack-vault.targets[2].address"
    And it reports 5 findings

    Examples:
      | command               |
      | check bad.json        |
      | check bad.json --json |

  Scenario Outline: Commands end with the expected status and text
    When "<command>" is run
    Then it exits with <status> and prints "<text>"

    Examples:
      | command                                              | status | text                     |
      | check filled.json                                    | 0      | accepted                 |
      | check --settings EXAMPLES/tifton-1.settings.json     | 0      | accepted                 |
      | check next.json --against filled.json                | 0      | version 1 to 2: rises    |
      | check next.json --against PLATFORM --json            | 0      | "leaving": [{"name": "pivot-link-7" |
      | check filled.json --against PLATFORM                 | 1      | 1 doesn't rise above 1   |
      | check filled.json --against PLATFORM/other           | 0      | no template is published |
      | check absent.json                                    | 2      | No such file             |
      | check filled.json --settings --against filled.json   | 2      | compares templates       |
      | check filled.json --against absent.json              | 3      | can't be read            |
      | check filled.json --against bad.json                 | 3      | no accepted template     |
      | check filled.json --against http://CLOSED            | 3      | no connection            |
      | render SOURCE --set version                          | 2      | not name=value           |
      | render SOURCE --set version=1 --set version=2        | 2      | given twice              |
      | render SOURCE --set version=x                        | 1      | parameters.published_at  |
      | render SOURCE --set version=0 --set published_at=now | 1      | version: 0 is not        |
      | render SOURCE --set version=1 --set published_at=now --leaving x | 1  | leaving.x: names no target |
      | run filled.json                                      | 1      | platform_url: missing    |
      | run unbound.json                                     | 1      | can't be listened at     |
      | status CLOSED --until-version 1 --within 0.1 --timeout 0.2 | 3 | not so everywhere       |
      | status CLOSED --timeout 0.2                          | 3      | no answer from 127.0.0.1 |
      | status localhost:1                                   | 2      | not IP:port              |
      | status CLOSED --count 2                              | 2      | needs --watch            |
      | completion fish                                      | 0      | _LAGOONTALLY_COMPLETE    |
      | completion tcsh                                      | 2      | tcsh                     |
      | --help                                               | 0      | lagoontally status       |
      | check --help                                         | 0      | lagoontally check        |
      | render --help                                        | 0      | lagoontally render       |
      | status --help                                        | 0      | lagoontally status       |
      | explain --help                                       | 0      | lagoontally explain      |
      | drain --help                                         | 0      | lagoontally drain        |
      | completion --help                                    | 0      | lagoontally completion   |

  Scenario: The package runs as a module
    When the module is run with "completion fish"
    Then it exits with 0 and prints "_LAGOONTALLY_COMPLETE"
