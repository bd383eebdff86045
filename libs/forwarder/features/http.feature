Feature: HTTP responses of the store and of peers

  Scenario Outline: An invalid response fails the request
    When the response is <response>
    Then the request fails with "<reason>"

    Examples:
      | response                     | reason                      |
      | a length of 5,000 digits     | usable length               |
      | a status of 5,000 digits     | no status line              |
      | no length                    | usable length               |
      | a length of 100,000,000      | the answer is too long      |
      | a head without an end        | too long                    |

  Scenario: A response is complete with its last byte
    When a response arrives byte by byte
    Then it is complete with its last byte

  Scenario Outline: A response may take as long as its bytes keep arriving
    When <size> bytes of a response arrive each <interval> ms
    Then the request ends after <duration> ms with <result>

    Examples:
      | size    | interval | duration | result                 |
      | 100100  | 100      | 50       | the response           |
      | 25000   | 1000     | 4050     | the response           |
      | 25000   | 1500     | 1200     | timeout                |
      | 500     | 100      | 10000    | the answer is too long |

  Scenario Outline: A second copy of a response isn't taken for the next one
    Given a client whose first request was answered
    When a second copy of the response arrives <time>
    And the client makes another request, which is answered
    Then it gets the answer to that request

    Examples:
      | time                            |
      | together with the first         |
      | while no request is in progress |
      | just before the next request    |

  Scenario: A response that breaks off fails the request
    Given a client whose first request was answered
    When the answer to the next request breaks off
    Then the client reports a failure
