Feature: Messages between balancers

  Scenario: Decoding reverses encoding
    Then each type of message is decoded to the message that was encoded

  Scenario: Balancers of two builds find each other
    Then programs before InForce decode the hello ["Hello", "tifton", 7, 2] and the reply ["Members", 7, 3, false, 0, 1, 2000, ["10.0.0.1", "10.0.0.2"], ["10.0.0.3"]]

  Scenario Outline: A delta with an invalid target is rejected
    When a delta arrives whose target has <field> <value>
    Then it is rejected

    Examples:
      | field   | value                 |
      | name    | "aabb"                |
      | name    | "zz"                  |
      | born    | -1                    |
      | born    | 1e999                 |
      | born    | 100000000000000000000 |
      | cookie  | 7                     |
      | cookie  | 99999999999           |
      | address | ["nowhere", 80]       |
      | address | ["a..b", 80]          |
      | address | ["10.0.0.1", 99999]   |
      | address | ["10.0.0.1", -1]      |
      | slots   | 0                     |
      | slots   | "2"                   |

  Scenario Outline: An invalid message is rejected
    When the message <text> arrives
    Then it is rejected

    Examples:
      | text                               |
      | 5                                  |
      | []                                 |
      | ["Nothing"]                        |
      | ["Verdict", 1e999, true, "silent", 0] |
      | ["Verdict", 5, true, "silent"] |
      | ["Verdict", 5, true, "stuck", 1e999] |
      | ["Verdict", 5, true, "stuck", -1] |
      | ["Verdict", 5, true, "stuck", "long"] |
      | ["Delta", 1e999, [1, 1, 0], [1, 2, 0], [1, 1, 0], 1, 0, 1, [], 7, false] |
      | ["Delta", 1, [1, 1, 0], [1, 1e999, 0], [1, 1, 0], 1, 0, 1, [], 7, false] |
      | ["Delta", 1, [1, 1, 0], [1, 2], [1, 1, 0], 1, 0, 1, [], 7, false] |
      | ["Delta", 1, 1, 2, 1, 1, 0, 1, [], 7, false] |
      | ["Delta", 1, [1, 1, 0], [1, 2, 0], [1, 1, 0], 1, 1, 1, [], 7, false] |
      | ["Beacon", 3, [1, -1, 0], [1, 1, 0], 2, 13, 40, true, false, 7] |
      | ["Beacon", 3, [1, 1, 0], [1, 1, 0], "2", 13, 40, true, false, 7] |
      | ["Members", 5]                     |
      | ["Members", 1, 1, true, 0, 1, 2000, 5, []] |
      | ["Members", 1, 1, true, 1, 1, 2000, [], []] |
      | ["Members", 1, 1, true, 0, 1, 0, [], []] |
      | ["Hello", "tifton"] |
      | ["Hello", 5, 1, 1] |
      | ["Joined", 5] |
      | ["InForce"] |
      | ["InForce", 14, 15] |
      | ["InForce", "14"] |
      | ["InForce", -1] |
      | ["InForce", 0] |
      | ["InForce", 14.5] |
      | ["InForce", 1e999] |
      | ["InForce", true] |
      | ["InForce", [14]] |
      | ["InForce", 9223372036854775808] |
      | ["ConfigurationDelta", 3, 1, 2, 5000, 0, 1, [[1, 80, ["r", [], true]]], 7] |
      | ["ConfigurationDelta", 3, 1, 2, 5000, 0, 1, [[1, 80, ["r", [["a", "x"]], true]]], 7] |
      | ["ConfigurationDelta", 3, 1, 2, 5000, 0, 1, [[1, 80, 5]], 7] |
      | ["ConfigurationDelta", 3, 1, 2, 0, 0, 1, [], 7] |
      | ["ConfigurationDelta", 3, 1, 2, 5000, 3, 2, [], 7] |
      | ["Beacon", 1, 2]                   |
      | ["LoadReport", [["desk", 4, 0]]] |
      | ["LoadReport", [[5, 4, 0]], [], []] |
      | ["LoadReport", [["desk", -4, 0]], [], []] |
      | ["LoadReport", [], [[77, 1e999]], []] |
      | ["LoadReport", [], [[77, -1]], []] |
      | ["LoadReport", [], [[4294967296, 21]], []] |
      | ["LoadReport", [], [[77, "21"]], []] |
      | ["LoadReport", [], [], [[77, -1]]] |
      | ["LoadAdvice", [[77, 101]], [], [], []] |
      | ["LoadAdvice", [[77, true]], [], [], []] |
      | ["LoadAdvice", [], [["desk", [["camilla", 60], ["pelham", 60]]]], [], []] |
      | ["LoadAdvice", [], [["desk", 20]], [], []] |
      | ["LoadAdvice", [], [], [], [["desk", -1]]] |
      | ["DemandDigest", "tifton", [["desk", 30]], false] |
      | ["DemandDigest", 5, [["desk", 30, 40]], false] |
      | ["DemandDigest", "tifton", [["desk", NaN, 40]], false] |
      | ["DemandDigest", "tifton", [["desk", 30, 1e999]], false] |

  Scenario: Messages about holders of flows fit into datagrams
    Then a message with 13 holders of flows is encoded

  Scenario Outline: An invalid holder of a flow is rejected
    When the message ["<type>", [[[1, 2, 3, 4], 5, 6, 2, 7, 0], <holder>]] arrives
    Then it is rejected

    Examples:
      | type        | holder                                |
      | Holders     | [[1, 2, 3], 5, 6, 2, 7, 0]            |
      | Holders     | [[1, 2, 3, 65536], 5, 6, 2, 7, 0]     |
      | Holders     | [[1.5, 2, 3, 4], 5, 6, 2, 7, 0]       |
      | Holders     | [[1, 2, 3, 4], -1, 6, 2, 7, 0]        |
      | Holders     | [[1, 2, 3, 4], 5, 4294967296, 2, 7, 0] |
      | Holders     | [[1, 2, 3, 4], 5, 6, 0, 7, 0]         |
      | Holders     | [[1, 2, 3, 4], 5, 6, 3, 7, 0]         |
      | Holders     | [[1, 2, 3, 4], 5, 6, true, 7, 0]      |
      | Holders     | [[1, 2, 3, 4], 5, 6, 2, 60001, 0]     |
      | HolderQuery | [[1, 2, 3, 4], 5, 6, 2, 7]            |
      | HolderQuery | 5                                     |

  Scenario: Messages about load fit into datagrams
    Then the fullest report and the fullest advice on load are encoded

  Scenario: Every reply to a hello fits into a datagram
    Then the longest parts of a list of 200 members are encoded

  Scenario Outline: Every part of a change of the configuration fits into a datagram
    Then each part of a change of <count> routes is encoded

    Examples:
      | count |
      | 0     |
      | 1     |
      | 64    |

  Scenario: Hosts that are not IP addresses are ignored
    When the message ["Members", 1, 1, true, 0, 1, 2000, ["10.0.0.1", "a..b", "localhost", 5], ["b.c"]] arrives
    Then it lists the hosts 10.0.0.1

  Scenario: Decoding random messages raises no error
    When hypothesis generates 400 messages of random fields
    Then each is decoded or rejected

  Scenario: A copy of the targets tells what is left of their warm-ups
    Then a copy of targets with 500 ms left of a warm-up is decoded as it was

  Scenario: A copy of a balancer of the version before is decoded
    Then a copy without what is left of warm-ups is decoded

  Scenario Outline: A copy with malformed warm-ups is rejected
    Then a copy with the warm-ups <warm_ups> is rejected

    Examples:
      | warm_ups     |
      | 5            |
      | [5]          |
      | [["x", 5]]   |
      | [[7, 1e999]] |
      | [[7, null]]  |
