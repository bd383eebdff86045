Feature: Records and JSON with a low startup cost

  Scenario: A record is a named tuple
    Given a record of x and y with 1 and 2
    Then it equals the tuple of 1 and 2 and its repr shows the names
    And a copy with another y keeps its x

  Scenario Outline: Creating a record with missing or extra values fails
    When a record of x and y is created from <items>
    Then it fails with a TypeError

    Examples:
      | items          |
      | 1              |
      | 1, 2, 3        |
      | 1, z=2         |
      | 1, 2, y=3      |
      | x=1            |

  Scenario: JSON is compatible with the standard library
    When hypothesis generates 300 values
    Then the standard library decodes each as encoded here
    And each is decoded as the standard library encodes it

  Scenario Outline: Decoding an invalid document fails
    When the text <text> is decoded
    Then it fails with a ValueError

    Examples:
      | text            |
      | nothing         |
      | {               |
      | [1,             |
      | {"a" 1}         |
      | 1 2             |
      | NaN             |
      | -Infinity       |
      | "\x             |
      | bytes ff fe     |
      | 100000 brackets |

  Scenario: Encoding a value that isn't JSON serializable fails
    When a set is encoded
    Then it fails with a TypeError

  Scenario: Decoding random bytes raises no other error
    When hypothesis generates 500 byte strings
    Then each is decoded or fails with a ValueError

  Scenario: Decoding fails with a ValueError without the json package
    When invalid documents are decoded in a process that hasn't imported json
    Then each fails with a ValueError there
