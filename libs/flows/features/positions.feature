Feature: A position in the store's history is never newer than what is known

  Scenario: A configuration from a peer hides no newer one after a lost history
    Given a reader that knows targets and configuration up to revision 18
    When it hears the beacon of a reader with version 5
    And the store has lost its history
    And a consistent listing at revision 22 arrives
    And version 5 arrives from a peer
    Then its next call reads the configuration, not from an old copy

  Scenario: Reads that may be old give no position
    Given a balancer without a position
    When a listing that may be old and names revision 20 arrives
    And a configuration that may be old and names revision 20 arrives
    And it becomes the reader
    Then its next calls are a catch-up from 20, a consistent listing, a consistent read
    And it watches from revision 31

  Scenario: The answer to a watch doesn't move a position over changes before it
    Given a reader that knows targets up to revision 20 and configuration up to 12
    When a watch from revision 20 is answered up to revision 25
    Then it watches from revision 12
    When a watch from revision 12 is answered up to revision 25
    Then it watches from revision 25

  Scenario: A configuration of a former era gives no position in the next
    Given a reader that knows targets and configuration up to revision 18
    When the store is in era 2 and lists its targets at revision 30
    Then its next call reads the configuration, not from an old copy

  Scenario: A reader without a position claims none
    Given a balancer without a position
    When a listing that may be old and names revision 20 arrives
    And it becomes the reader
    Then its beacon names no position
    When a listing that may be old and names revision 90 arrives at another balancer
    And that balancer hears the beacon
    Then it knows no position

  Scenario Outline: Targets of a peer that may be old are taken only by who has none
    Given a balancer without a position
    When <before>
    And targets without a position arrive from a peer
    Then they are <outcome>
    And it knows no position

    Examples:
      | before                                                | outcome   |
      | no listing has arrived                                | taken     |
      | a listing that may be old and names revision 20 arrives | not taken |

  Scenario Outline: Targets that may be old are the reader's only with the same content
    Given a balancer without a position
    When a listing that may be old and names revision 90 arrives
    And the beacon of a reader at revision 40 with <content> targets arrives
    Then it <outcome>

    Examples:
      | content | outcome                    |
      | equal   | knows targets up to 40     |
      | other   | fetches the reader's       |

  Scenario Outline: A change is applied to targets that may be old if it leads to the reader's
    Given a balancer without a position
    When a listing that may be old and names revision 90 arrives
    And a reader's change from an unknown position to 40 arrives that leads to <content> targets
    Then it <outcome>

    Examples:
      | content | outcome                |
      | equal   | knows targets up to 40 |
      | other   | knows no position      |

  Scenario: Different targets at one position are read once
    Given a follower that knows targets up to revision 40
    When the beacon of a reader at revision 40 with other targets arrives
    Then it fetches the reader's
    When the reader's targets at revision 40 arrive and differ still
    And the beacon of a reader at revision 40 with other targets arrives
    Then it makes no call

  Scenario Outline: A response that is older than a change from a reader is outdated
    Given a follower that knows targets up to revision 40
    When a response names revision <revision>, <kind>
    Then the response is found to be <state>

    Examples:
      | revision | kind          | state     |
      | 39       | consistent    | outdated  |
      | 40       | consistent    | not older |
      | 41       | consistent    | not older |
      | 99       | may be old    | outdated  |
