Feature: An announced version that the store lacks doesn't keep a reader from its watch

  Scenario Outline: A reader goes on watching while the store lacks an announced version
    Given a reader that knows targets and configuration up to revision 18
    When it hears the beacon of a reader with version <version>
    And for 3000 ms the store answers with version 4 only
    Then it has watched, and read the configuration at most 12 times

    Examples:
      | version |
      | 4       |
      | 5       |

  Scenario: A follower tells since when it has lacked an announced version
    Given a follower with version 4 in force
    When it hears of version 5, and 400 ms later of version 6
    Then it has been behind for 400 ms
    When version 6 is in force
    Then it isn't behind
