Feature: Messages between balancers

  Scenario: What is encoded is decoded as it was
    Then each kind of message is read as it was written

  Scenario Outline: A target that can't be one
    When a delta comes whose target has <field> <value>
    Then it is refused

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

  Scenario Outline: Messages that say what can't be
    When the message <text> comes
    Then it is refused

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
      | ["Delta", 1e999, 1, 1, 1, 1, 0, 1, []] |
      | ["Members", 5]                     |
      | ["Beacon", 1, 2]                   |

  Scenario: Hosts that are no addresses are left out
    When the message ["Members", ["10.0.0.1", "a..b", "localhost", 5]] comes
    Then it names the hosts 10.0.0.1

  Scenario: What random messages do
    When hypothesis makes 400 messages of random fields
    Then each is read or refused
