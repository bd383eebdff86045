Feature: Answers of the store and of peers

  Scenario Outline: An answer that can't be read is a failed call
    When <bytes> come as the answer
    Then the call has failed since "<reason>"

    Examples:
      | bytes                        | reason                      |
      | a length of 5,000 digits     | usable length               |
      | a status of 5,000 digits     | no status line              |
      | no length                    | usable length               |
      | a length of 100,000,000      | usable length               |
      | a head without an end        | too long                    |

  Scenario: An answer that comes in pieces
    When an answer comes byte by byte
    Then it is complete with its last byte
