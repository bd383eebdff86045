Feature: Messages between balancers over pynng

  Scenario: Every message type is restored by the codec
    When each message type is encoded and decoded
    Then each message is the same, with its own types

  Scenario: No message type is missing from the codec
    Then every type of the core's peer messages is a message or part of one

  Scenario: The encoding of a message is fixed
    When a HandoverAck of 1 and 2 is encoded for sender 5
    Then the message is 93 05 ab 48616e646f76657241636b 94 01 02 01 00

  Scenario: Decoding arbitrary bytes as a peer's message gives a typed result
    When peers send arbitrary bytes
    Then each message is decoded, or dropped with a reason

  Scenario: Messages reach a peer over loopback, including the first
    Given two peer edges
    When one sends the other 20 messages
    Then all 20 are posted in order with the sender's incarnation

  Scenario: A send to an absent peer or an invalid address neither blocks nor raises
    Given two peer edges
    When one sends 100 messages to an absent peer and one to an invalid address
    Then messages that can't be sent are counted

  Scenario: The number of dialed peers is bounded and idle ones are closed
    Given a peer edge that dials at most 3 peers
    When it sends a message to each of 5 absent peers
    Then 3 peers are dialed
    When 61 seconds pass for the peer edge
    Then 0 peers are dialed

  Scenario: A disconnected peer is dialed again
    Given two peer edges
    When one sends the other 1 messages
    And it disconnects the other and sends another message
    Then that message is posted too

  Scenario: Undecodable messages are counted
    Given two peer edges
    When undecodable messages are sent to one of them
    Then they are counted and the next message is posted
