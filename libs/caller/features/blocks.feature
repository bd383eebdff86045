Feature: A body of many blocks arrives whole or not at all

  Scenario: All blocks make one body
    Given a resource of 2500 bytes
    When it is fetched
    Then the fetch ends as Answered with the whole body after 3 blocks

  Scenario: A changed ETag starts the fetch again
    Given a resource of 2500 bytes
    When it is fetched and changes after block 1
    Then the fetch ends as Answered with the whole body after 6 blocks

  Scenario: A resource that changes all the time gives a reason
    Given a resource of 2500 bytes
    When it is fetched and changes after each block
    Then the fetch ends as Unknown

  Scenario Outline: A block that doesn't fit gives a reason
    Given a resource of 2500 bytes
    When it is fetched and block 1 <fault>
    Then the fetch ends as Failed

    Examples:
      | fault              |
      | is cut             |
      | has another number |
      | has no number      |

  Scenario: A body shorter than its announced size gives a reason
    Given a resource of 2500 bytes
    When it is fetched and 2501 bytes are announced
    Then the fetch ends as Failed
