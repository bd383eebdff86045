Feature: One request and its outcome

  Scenario Outline: The first final answer decides the outcome of a command
    Given a command with 10 s to its deadline
    When the current round is answered by <code>
    Then the outcome is <outcome>

    Examples:
      | code | outcome  |
      | 2.04 | Answered |
      | 2.05 | Answered |
      | 4.00 | Failed   |
      | 4.04 | Failed   |
      | 5.03 | NotRun   |
      | 5.04 | Unknown  |
      | 5.00 | Unknown  |

  Scenario Outline: A part of an answer isn't reported as a whole one
    Given a command with 10 s to its deadline
    When the current round is answered by 2.04 with <blocks>
    Then the outcome is <outcome>

    Examples:
      | blocks                   | outcome  |
      | the first of more blocks | Unknown  |
      | the last of more blocks  | Unknown  |
      | the only block           | Answered |

  Scenario Outline: A second answer changes nothing
    Given a command with 10 s to its deadline
    When the current round is answered by <first>
    And the current round is answered by <second>
    Then the outcome is <outcome>

    Examples:
      | first | second | outcome  |
      | 2.04  | 5.03   | Answered |
      | 5.03  | 2.04   | NotRun   |
      | 5.04  | 2.04   | Unknown  |

  Scenario: A command is retransmitted only as the same datagram
    Given a command with 10 s to its deadline
    When 9 s pass without an answer
    Then 3 equal datagrams were sent

  Scenario: A command without an answer ends as Unknown at its deadline
    Given a command with 10 s to its deadline
    When 10 s pass without an answer
    Then the outcome is Unknown
    And nothing more is sent

  Scenario: A 4.01 starts a new round with the Echo
    Given a command with 10 s to its deadline
    When the current round is answered by 4.01 with Echo "one"
    Then 2 datagrams with different tokens and message ids were sent
    And the last datagram carries Echo "one" and a time left of 10000 ms

  Scenario: The fifth 4.01 ends a command as NotRun
    Given a command with 10 s to its deadline
    When 5 rounds are answered by 4.01 with an Echo
    Then 5 datagrams with different tokens and message ids were sent
    And the outcome is NotRun

  Scenario: A 4.01 without an Echo ends a command as Failed
    Given a command with 10 s to its deadline
    When the current round is answered by 4.01
    Then the outcome is Failed

  Scenario Outline: Only a success counts as an answer to an earlier round
    Given a command with 10 s to its deadline
    When the current round is answered by 4.01 with Echo "one"
    And the first round is answered by <code>
    Then the outcome is <outcome>

    Examples:
      | code | outcome  |
      | 4.01 | None     |
      | 5.03 | None     |
      | 5.04 | None     |
      | 2.04 | Answered |

  Scenario: An answer with another token is ignored
    Given a command with 10 s to its deadline
    When an answer with an unknown token arrives
    Then the outcome is None

  Scenario: An Echo is dropped after 100 s
    Given a command with 300 s to its deadline
    And a stored Echo "kept"
    When 101 s pass without an answer
    And the current round is answered by 4.01 with Echo ""
    Then the stored Echo is empty

  Scenario: An Echo that got no answer isn't used again
    Given a stored Echo "lost"
    And a command with 10 s to its deadline
    When 10 s pass without an answer
    Then the stored Echo is empty

  Scenario: A refused store is retried with a new token after Max-Age
    Given a store with 10 s to its deadline
    When the current round is answered by 5.03 with Max-Age 2
    And 4 s pass without an answer
    Then 2 datagrams with different tokens and message ids were sent
    And the second was sent 2 to 3 s after the refusal

  Scenario: A store refused for longer than its deadline ends as NotRun
    Given a store with 10 s to its deadline
    When the current round is answered by 5.03 with Max-Age 11
    Then the outcome is NotRun
