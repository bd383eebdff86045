Feature: What the platform speaks

  Scenario: The header on the platform's page
    When the SYN of the platform's page is decoded
    Then it is a SYN from 100.64.0.7:40001 to 198.18.0.1:443 with sequence 0x11223344

  Scenario: The reset on the platform's page
    When a flow from 100.64.0.7:40001 to 198.18.0.1:443 is reset
    Then the bytes are those of the platform's page

  Scenario: A packet is addressed by name and cookie, and otherwise unchanged
    When a packet is addressed to a target
    Then it starts with the target's name
    And only its cookie has changed

  Scenario Outline: Datagrams that are no packets
    When a datagram <datagram> is decoded
    Then it is refused as "<reason>"

    Examples:
      | datagram                | reason       |
      | of 0 bytes              | truncated    |
      | of 31 bytes             | truncated    |
      | with a wrong length     | wrong_length |
      | of more than 1200 bytes | wrong_length |

  Scenario: An entry names a target
    When the entry of the platform's page is decoded
    Then it names the target 7f3a91c2 of service huvo11a at 10.128.0.9:8080

  Scenario Outline: Entries that name no target
    When an entry whose <field> is <value> is decoded
    Then it names no target

    Examples:
      | field           | value              |
      | service         | missing            |
      | service         | 5                  |
      | service         | ""                 |
      | address         | missing            |
      | address         | "10.0.0.1"         |
      | address         | "10.0.0.1:x"       |
      | address         | "10.0.0.1:70000"   |
      | address         | "10.0.0.999:80"    |
      | address         | ["10.0.0.1:80"]    |
      | zone            | missing            |
      | zone            | null               |
      | state           | missing            |
      | state           | "gone"             |
      | state           | true               |
      | max-concurrency | missing            |
      | max-concurrency | 0                  |
      | max-concurrency | "2"                |
      | max-concurrency | true               |
      | warmup-left-ms  | missing            |
      | warmup-left-ms  | -1                 |
      | warmup-left-ms  | 0.5                |
      | born            | "yesterday"        |
      | born            | 1.5                |
      | born            | null               |

  Scenario: Fields that aren't known are ignored
    When an entry whose colour is "red" is decoded
    Then it names the target 7f3a91c2 of service huvo11a at 10.128.0.9:8080

  Scenario Outline: Bytes that can't be read harm no other entry
    When a page holds a good entry and one of <bytes>
    Then the page has 1 target and 1 fault

    Examples:
      | bytes       |
      | no JSON     |
      | a number    |
      | no base64   |
      | no value    |
      | a list      |

  Scenario: The configuration of the platform's page
    When the configuration of the platform's page is decoded
    Then it has version 7 and 2 routes, of which 1 is repeatable
    And the first route is split 90 to 10

  Scenario Outline: A configuration that can't be read
    When a configuration whose <field> is <value> is decoded
    Then there is no configuration and 1 fault

    Examples:
      | field   | value                                    |
      | version | "7"                                      |
      | version | missing                                  |
      | limits  | missing                                  |
      | limits  | {"idle-timeout-ms": "long"}              |
      | routes  | [5]                                      |
      | routes  | [{"name": "r", "host": "x"}]             |
      | routes  | [{"name": "r", "host": "1.2.3.4", "prefix": "/a/", "service": "s"}] |
      | routes  | [{"name": "r", "host": "1.2.3.4", "prefix": "/1/"}] |

  Scenario: Pages go on behind their last key
    When a page says that there are more
    Then the next page begins behind its last key

  Scenario: A deletion takes a target away
    When a watch shows a deletion
    Then the entry is without a target

  Scenario Outline: Answers that can't be used
    When the body of an answer is <body>
    Then the answer is refused

    Examples:
      | body                         |
      | nothing                      |
      | <html>                       |
      | []                           |
      | {"items": 5, "as-of": 1}     |
      | {"items": [], "as-of": "1"}  |
      | {"items": [{}], "as-of": 1}  |
      | {"items": [5], "as-of": 1}   |

  Scenario Outline: Numbers and texts at their limits
    When an entry whose <field> is <value> is decoded
    Then it names no target

    Examples:
      | field           | value                          |
      | born            | 1000000000000000000000000000000 |
      | warmup-left-ms  | 1000000000000000000000000000000 |
      | max-concurrency | 1000000000000000000000000000000 |

  Scenario Outline: Lists that are none
    When a configuration whose <field> is <value> is decoded
    Then there is no configuration and 1 fault

    Examples:
      | field  | value                                                                        |
      | routes | 5                                                                            |
      | routes | [{"name": "r", "host": "1.2.3.4", "prefix": "/1/", "traffic-split": 5}]      |
      | routes | [{"name": "r", "host": "1.2.3.4", "prefix": "/\u00b2/", "service": "s"}]     |
