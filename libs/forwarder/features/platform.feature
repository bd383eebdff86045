Feature: Wire formats and documents of the platform

  Scenario: The SYN in the platform's documentation is decoded
    When the documented SYN is decoded
    Then it is a SYN from 100.64.0.7:40001 to 198.18.0.1:443 with sequence 0x11223344

  Scenario: A reset is encoded as in the platform's documentation
    When a flow from 100.64.0.7:40001 to 198.18.0.1:443 is reset
    Then the bytes are the documented ones

  Scenario: Addressing a packet changes only its name and cookie
    When a packet is addressed to a target
    Then it starts with the target's name
    And only its cookie has changed

  Scenario Outline: An invalid packet is rejected
    When a datagram <datagram> is decoded
    Then it is rejected as "<reason>"

    Examples:
      | datagram                | reason       |
      | of 0 bytes              | truncated    |
      | of 31 bytes             | truncated    |
      | with a wrong length     | wrong_length |
      | of more than 1200 bytes | wrong_length |

  Scenario: A valid entry yields a target
    When the documented entry is decoded
    Then it yields the target 7f3a91c2 of service huvo11a at 10.128.0.9:8080

  Scenario Outline: An invalid entry yields no target
    When an entry whose <field> is <value> is decoded
    Then it yields no target

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
      | version         | missing            |
      | version         | ""                 |
      | version         | 1                  |
      | seq-no          | missing            |
      | seq-no          | -1                 |
      | seq-no          | "4"                |
      | seq-no          | 0.5                |
      | born            | missing            |
      | born            | "yesterday"        |
      | born            | 1.5                |
      | born            | null               |

  Scenario: Unknown fields are ignored
    When an entry whose colour is "red" is decoded
    Then it yields the target 7f3a91c2 of service huvo11a at 10.128.0.9:8080

  Scenario Outline: An undecodable entry doesn't affect others
    When a page contains a valid entry and one with <bytes>
    Then the page has 1 target and 1 fault

    Examples:
      | bytes       |
      | no JSON     |
      | a number    |
      | no base64   |
      | no value    |
      | a list      |

  Scenario: The configuration in the platform's documentation is decoded
    When the documented configuration is decoded
    Then it has version 7 and 2 routes, of which 1 is repeatable
    And the first route is split 90 to 10

  # Guards against flows that go to a service of weight 0 while the others' targets are
  # left out, as they may have refused the caller.
  Scenario Outline: A service of weight 0 gets no flows of a route
    When the documented configuration with the first route split <weights> is decoded
    Then the first route's flows go to <services>

    Examples:
      | weights  | services        |
      | 100 to 0 | huvo11a         |
      | 0 to 5   | wuno96b         |
      | 0 to 0   | huvo11a wuno96b |

  Scenario Outline: An invalid configuration is rejected
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

  Scenario Outline: A version isn't lost with another one in the same answer
    When a watch reports versions <versions> of the configuration
    Then the newest valid version is 8, written at revision 21

    Examples:
      | versions         |
      | 7, 8             |
      | 8, 7             |
      | 7, 8, invalid    |

  Scenario Outline: The operator's request to empty a data centre
    When a page holds <key> with the value <value>
    Then it empties <data centres>, with <faults> faults

    Examples:
      | key                   | value | data centres | faults |
      | op/evacuate/tifton    | {}    | tifton       | 0      |
      | op/evacuate/a b&c/d   | {}    | a b&c/d      | 0      |
      | op/evacuate/tifton    | 7     | tifton       | 1      |
      | op/evacuate/tifton    | %%    | tifton       | 1      |
      | op/evacuate/          | {}    | nothing      | 1      |
      | op/evacuate           | {}    | nothing      | 0      |
      | op/other              | %%    | nothing      | 0      |

  Scenario: The page after a key with odd characters
    When the next page starts after "op/evacuate/a b&c"
    Then its path ends in "after=op/evacuate/a%20b%26c"

  Scenario: The next page starts after the last key of a page
    When a page indicates that there are more
    Then the next page starts after its last key

  Scenario: A deleted entry yields no target
    When a watch reports a deletion
    Then the entry has no target

  Scenario Outline: An invalid response is rejected
    When the body of a response is <body>
    Then the response is rejected

    Examples:
      | body                         |
      | nothing                      |
      | <html>                       |
      | []                           |
      | {"items": 5, "as-of": 1}     |
      | {"items": [], "as-of": "1"}  |
      | {"items": [{}], "as-of": 1}  |
      | {"items": [5], "as-of": 1}   |

  Scenario Outline: A number out of range yields no target
    When an entry whose <field> is <value> is decoded
    Then it yields no target

    Examples:
      | field           | value                          |
      | born            | 1000000000000000000000000000000 |
      | warmup-left-ms  | 1000000000000000000000000000000 |
      | max-concurrency | 1000000000000000000000000000000 |

  Scenario Outline: Invalid routes are rejected
    When a configuration whose <field> is <value> is decoded
    Then there is no configuration and 1 fault

    Examples:
      | field  | value                                                                        |
      | routes | 5                                                                            |
      | routes | [{"name": "r", "host": "1.2.3.4", "prefix": "/1/", "traffic-split": 5}]      |
      | routes | [{"name": "r", "host": "1.2.3.4", "prefix": "/\u00b2/", "service": "s"}]     |

  Scenario Outline: The era of the store is read from a header
    When a response has the header <header>
    Then it names the era <era>

    Examples:
      | header                   | era  |
      | Store-Era: 7             | 7    |
      | store-era:12             | 12   |
      | Store-Era: 0             | none |
      | Store-Era: -1            | none |
      | Store-Era: 1.5           | none |
      | Store-Era: 9999999999999 | none |
      | Store-Era:               | none |
      | Store-Eras: 7            | none |
