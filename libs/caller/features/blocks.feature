Feature: Block-wise fetches

  Scenario: A body is assembled from all its blocks
    Given a resource of 2500 bytes
    When it is fetched
    Then the fetch ends as Answered with the whole body after 3 blocks

  Scenario: A fetch starts again when the ETag changes
    Given a resource of 2500 bytes
    When it is fetched and changes after block 1
    Then the fetch ends as Answered with the whole body after 6 blocks

  Scenario: A fetch of a resource that keeps changing ends as Unknown
    Given a resource of 2500 bytes
    When it is fetched and changes after each block
    Then the fetch ends as Unknown

  Scenario Outline: A block that doesn't fit ends the fetch as Failed
    Given a resource of 2500 bytes
    When it is fetched and block 1 <fault>
    Then the fetch ends as Failed

    Examples:
      | fault              |
      | is truncated       |
      | has another number |
      | has no Block2      |

  Scenario: A body shorter than its announced size ends the fetch as Failed
    Given a resource of 2500 bytes
    When it is fetched and 2501 bytes are announced
    Then the fetch ends as Failed
