Feature: Members of a large data centre pass a reader's changes on

  Scenario: A small data centre
    Given a reader with 31 members
    When it sends a change
    Then each member gets it from the reader

  Scenario: A large data centre
    Given a reader with 59 members
    When it sends a change
    Then the reader sends 8 messages
    And each member is reached once

  Scenario: A relay that doesn't acknowledge
    Given a reader with 59 members
    When it sends a change
    And all relays but the first acknowledge it
    And 150 ms go by for the reader
    Then the first relay's group gets the change from the reader
    When it sends a change
    Then the first relay isn't used

  Scenario: A relay is used again later
    Given a reader with 59 members
    When it sends a change
    And all relays but the first acknowledge it
    And 150 ms go by for the reader
    And 10000 ms go by for the reader
    And it sends a change
    Then the first relay is used

  Scenario: No relay acknowledges
    Given a reader with 59 members
    When no member acknowledges what it relays
    And it sends a change
    Then each member gets it from the reader

  Scenario: An acknowledgement of another member counts for nothing
    Given a reader with 59 members
    When it sends a change
    And a member acknowledges what the first relay was sent
    And 150 ms go by for the reader
    Then the first relay's group gets the change from the reader

  Scenario: A member waits for its relay before it fetches what a beacon announces
    Then members of 60 wait 200 ms to 730 ms
    And members of 32 wait 0 ms to 506 ms
