Feature: A position in the store's history is never newer than what is known

  Scenario: A configuration from a peer hides no newer one after a lost history
    Given a reader that knows targets and configuration up to revision 18
    When it hears the beacon of a reader with version 5
    And the store has lost its history
    And a consistent listing at revision 22 arrives
    And version 5 arrives from a peer
    Then its next call reads the configuration, not from an old copy

  # Guards against an old copy of the time before an outage, in force until a reader reads.
  Scenario Outline: The first reads after an outage aren't from an old copy
    Given a balancer, which has read nothing yet
    When <outage>
    Then its first listing and configuration <age>

    Examples:
      | outage                     | age                     |
      | the store answers at once  | may be from an old copy |
      | the store fails for a call | aren't from an old copy |

  Scenario: Reads that may be old give no position
    Given a balancer without a position
    When a listing that may be old and names revision 20 arrives
    And a configuration that may be old and names revision 20 arrives
    And it becomes the reader
    Then its next calls are a catch-up from 20, a consistent read, a consistent listing
    And it watches from revision 31

  Scenario Outline: The answer to a watch doesn't move a position over changes before it
    Given a reader that knows targets up to revision <targets> and configuration up to <configuration>
    When a watch from revision 20 is answered up to revision 25
    Then it watches from revision 12
    When a watch from revision 12 is answered up to revision 25
    Then it watches from revision 25

    Examples:
      | targets | configuration |
      | 20      | 12            |
      | 12      | 20            |

  Scenario: A configuration of a former era gives no position in the next
    Given a reader that knows targets and configuration up to revision 18
    When the store is in era 2 and lists its targets at revision 30
    Then its next call reads the configuration, not from an old copy

  Scenario: A follower's configuration of a former era gives no position when it takes over
    Given a follower that knows targets up to revision 18
    When the store is in era 2 and lists its targets at revision 30
    And it becomes the reader
    Then its next call reads the configuration, not from an old copy

  Scenario Outline: A reader's newer configuration gives no position to an older one
    Given a follower that knows targets up to revision 40
    When <message> of a reader with version 6, which knows all up to 45, arrives
    Then it knows the configuration up to 40

    Examples:
      | message  |
      | a beacon |
      | a change |

  Scenario: A version that the store lacks doesn't keep a reader from watching
    Given a reader that knows targets and configuration up to revision 18
    When it hears the beacon of a reader with version 9
    Then it watches within 3 calls, and makes 10 calls in which half are watches

  Scenario: A reader without a position claims none
    Given a balancer without a position
    When a listing that may be old and names revision 20 arrives
    And it becomes the reader
    Then its beacon names no position
    When a listing that may be old and names revision 90 arrives at another balancer
    And that balancer hears the beacon
    Then it knows no position

  Scenario: A new reader announces its first answer at once
    Given a follower that knows targets up to revision 40
    When it becomes the reader 2000 ms later
    Then its first beacon is of a reader without contact
    When a watch from revision 40 is answered up to revision 40
    Then its next beacon, at the same time, is of a reader in contact

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

  Scenario: Targets that differ from the reader's give no position
    Given a balancer without a position
    When a listing that may be old and names revision 90 arrives
    And the beacon of a reader at revision 40 with other targets arrives
    Then it knows no position

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
    When a change to revision 41 arrives that leads to other targets
    And the beacon of a reader at revision 41 with other targets arrives
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

  Scenario: Targets taken from a reader that settles a restored copy are settled by who takes over
    Given a balancer without a position
    When a listing that may be old and names revision 20 arrives
    And the beacon of a reader at revision 20 that settles a restored copy arrives
    And it becomes the reader and reads both at revision 21
    And 3000 ms pass for it
    Then its next call lists the targets again

  Scenario: A listing without changes shows others what ended before it
    Given a reader that knows targets and configuration up to revision 18
    When the store has lost its history
    And a consistent listing at revision 22 arrives
    Then its beacon is of revision 22

  Scenario: Equal targets are known up to a reader's newer position
    Given a follower that knows targets up to revision 40
    When the beacon of a reader at revision 45 with equal targets arrives
    Then it knows targets up to 45
    And it makes no call

  Scenario: A balancer that becomes reader in an outage takes its first configuration from a peer
    Given a balancer without a position
    When targets without a position arrive from a peer
    And the beacon of a reader that has lost the store arrives
    And its calls to the store fail, and it becomes the reader
    Then it fetches the configuration from the peer in one of two calls

  Scenario Outline: A follower's configuration is confirmed by a reader that knows no newer one
    Given a follower that knows targets up to revision 40
    When 5000 ms pass for it
    And the beacon of a reader with version <version> that knows all up to <known> arrives
    Then its configuration was confirmed <confirmed> ms ago

    Examples:
      | version | known | confirmed |
      | 5       | 45    | 0         |
      | 4       | 45    | 0         |
      | 6       | 45    | 5000      |
      | 5       | 0     | 5000      |

  Scenario Outline: The answers to a reader's watch confirm its configuration
    Given a reader that knows targets up to revision 18 and configuration up to <configuration>
    When 5000 ms pass for it
    And the answer to a watch from 18 to 20 arrives
    Then its configuration was confirmed <confirmed> ms ago

    Examples:
      | configuration | confirmed |
      | 18            | 0         |
      | 17            | 5000      |
