Feature: Records and JSON that cost little at the start

  Scenario: A record is a tuple with names
    Given a record of x and y with 1 and 2
    Then it equals the tuple of 1 and 2 and shows its names
    And a copy with another y keeps its x

  Scenario Outline: A record takes exactly its items
    When a record of x and y is made from <items>
    Then it is refused by a TypeError

    Examples:
      | items          |
      | 1              |
      | 1, 2, 3        |
      | 1, z=2         |
      | 1, 2, y=3      |
      | x=1            |

  Scenario: JSON is read and written as the standard library does
    When hypothesis makes 300 values
    Then each is written as the standard library reads it
    And each is read as the standard library writes it

  Scenario Outline: Texts that are no JSON
    When the text <text> is read
    Then it is refused by a ValueError

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

  Scenario: Values without a JSON form are refused
    When a set is written
    Then it is refused by a TypeError

  Scenario: What random bytes do
    When hypothesis makes 500 byte strings
    Then each is read or refused by a ValueError

  Scenario: Bad texts in a process that has never imported json
    When bad texts are read in a process with nothing but these modules
    Then each is refused by a ValueError there
