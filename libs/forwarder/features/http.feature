Feature: HTTP responses of the store and of peers

  Scenario Outline: An invalid response fails the request
    When the response is <response>
    Then the request fails with "<reason>"

    Examples:
      | response                     | reason                      |
      | a length of 5,000 digits     | usable length               |
      | a status of 5,000 digits     | no status line              |
      | no length                    | usable length               |
      | a length of 100,000,000      | usable length               |
      | a head without an end        | too long                    |

  Scenario: A response is complete with its last byte
    When a response arrives byte by byte
    Then it is complete with its last byte
