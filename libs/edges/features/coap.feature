Feature: CoAP datagrams and typed messages

  Scenario Outline: A caller's datagram is decoded
    When the caller's datagram <hex> is decoded
    Then it is a <kind> with <fields>

    Examples: Requests, acknowledgements and resets
      | hex                                      | kind          | fields                                                                                          |
      | 4201 0007 6162 b170                      | Request       | {"kind": 0, "token": "6162", "message_id": 7, "confirmable": true, "remaining_ms": 10000}       |
      | 5005 0007                                | Request       | {"kind": 0, "token": "", "confirmable": false}                                                  |
      | 4003 0007 ff78                           | Request       | {"kind": 0}                                                                                     |
      | 4004 0007                                | Request       | {"kind": 0}                                                                                     |
      | 4002 0007 b170 e2fcd0 1388 ff73          | Request       | {"kind": 1, "remaining_ms": 5000, "echo": ""}                                                   |
      | 4002 0007 e4fcdb ffffffff                | Request       | {"kind": 1, "remaining_ms": 60000}                                                              |
      | 4006 0007                                | Request       | {"kind": 1}                                                                                     |
      | 4007 0007 d2ef e1e2                      | Request       | {"kind": 1, "echo": "e1e2"}                                                                     |
      | 4001 0007 60                             | Request       | {"kind": 2}                                                                                     |
      | 4001 0007 6101                           | Request       | {"kind": 3}                                                                                     |
      | 4001 0007 6102                           | Request       | {"kind": 0}                                                                                     |
      | 6000 0102                                | Acknowledged  | {"message_id": 258}                                                                             |
      | 7000 0102                                | ResetReceived | {"message_id": 258}                                                                             |
      | 4000 0102                                | PingReceived  | {"message_id": 258}                                                                             |

    Examples: Datagrams that are dropped
      | hex                                      | kind          | fields                                                                                          |
      | 4001 00                                  | Malformed     | {"reason": "the datagram is shorter than a header"}                                             |
      | 8001 0007                                | Malformed     | {"reason": "the version isn't 1"}                                                               |
      | 4901 0007 010203040506070809             | Malformed     | {"reason": "the token is longer than 8 bytes"}                                                  |
      | 4801 0007 0102                           | Malformed     | {"reason": "the token is cut off"}                                                              |
      | 4000 0007 60                             | Malformed     | {"reason": "an empty message has content"}                                                      |
      | 5000 0007                                | Malformed     | {"reason": "an empty message must not be non-confirmable"}                                      |
      | 6001 0007                                | Malformed     | {"reason": "a request must be confirmable or non-confirmable"}                                  |
      | 4045 0007                                | Malformed     | {"reason": "the code isn't a request method"}                                                   |
      | 4001 0007 b5 70                          | Malformed     | {"reason": "an option is cut off"}                                                              |
      | 4001 0007 f0                             | Malformed     | {"reason": "an option's number is out of range"}                                                |
      | 4001 0007 e0ffff e0ffff                  | Malformed     | {"reason": "an option's number is out of range"}                                                |
      | 4001 0007 64 01020304                    | Malformed     | {"reason": "option 6 is too long"}                                                              |
      | 4001 0007 e5fcdb 0102030405              | Malformed     | {"reason": "option 65000 is too long"}                                                          |
      | 4001 0007 d016                           | Malformed     | {"reason": "the critical option 35 isn't known"}                                                |
      | 4001 0007 ff                             | Malformed     | {"reason": "the payload is missing"}                                                            |

  Scenario: A datagram with too many options is dropped
    When a datagram of 65 empty path segments is decoded
    Then it is a Malformed with {"reason": "there are more than 64 options"}

  Scenario Outline: An answer is encoded
    When the answer <answer> to a <type> request is encoded
    Then the datagram is <hex>

    Examples:
      | answer                        | type            | hex                                  |
      | NeedEcho("late")              | confirmable     | 62 81 0007 6162 d2ef e1e2            |
      | NeedEcho("late")              | non-confirmable | 52 81 0009 6162 d2ef e1e2            |
      | Refused(3, "full")            | confirmable     | 62 a3 0007 6162 d101 03 d2e1 e1e2 ff 66756c6c |
      | Unknown("lost")               | confirmable     | 62 a4 0007 6162 d2ef e1e2 ff 6c6f7374 |
      | Rejected("no")                | confirmable     | 62 80 0007 6162 d2ef e1e2 ff 6e6f    |
      | Forwarded(OBSERVED)           | confirmable     | 62 45 0007 6162 d2ef e1e2 ff 6f6b    |
      | Forwarded(OBSERVED, 5)        | non-confirmable | 52 45 0009 6162 6105 d2e9 e1e2 ff 6f6b |
      | Forwarded(OBSERVED, 16777216) | confirmable     | 62 45 0007 6162 60 d2e9 e1e2 ff 6f6b |

  Scenario: A target's datagram that can't be decoded isn't forwarded
    When the answer Forwarded(b"x") to a confirmable request is encoded
    Then it is a Malformed with {"reason": "the datagram is shorter than a header"}

  Scenario Outline: A notification is encoded
    When a <type> notification of <body> is encoded
    Then the datagram is <hex>

    Examples:
      | type            | body     | hex                                    |
      | confirmable     | OBSERVED | 42 45 0102 6162 6107 d2e9 e1e2 ff 6f6b |
      | non-confirmable | OBSERVED | 52 45 0102 6162 6107 d2e9 e1e2 ff 6f6b |
      | non-confirmable | SHED     | 52 a3 0102 6162 d101 05 d2e1 e1e2      |

  Scenario Outline: A request to a target is encoded
    When a caller's GET is encoded as <kind>
    Then the datagram is <hex>

    Examples:
      | kind       | hex                                                            |
      | REQUEST    | 58 01 0009 3132333435363738 33 612e62 81 70 e2fcd0 0fa0 ff 78  |
      | LINE_OPEN  | 58 01 0009 3132333435363738 33 612e62 30 51 70 e2fcd0 0fa0 ff 78 |
      | LINE_CLOSE | 58 01 0009 3132333435363738 33 612e62 31 01 51 70 e2fcd0 0fa0 ff 78 |

  Scenario Outline: A target's datagram is decoded
    When the target's datagram <hex> is decoded
    Then it is a <kind> with <fields>

    Examples:
      | hex                            | kind             | fields                                                                        |
      | 5145 0007 61 ff6f              | UpstreamDatagram | {"token": "61", "status": "answered", "observed": false, "confirmable": false} |
      | 4145 0007 61 6105              | UpstreamDatagram | {"status": "answered", "observed": true, "confirmable": true, "message_id": 7} |
      | 51a3 0007 61 d101 05           | UpstreamDatagram | {"status": "shed", "retry_after_s": 5}                                        |
      | 51a3 0007 61                   | UpstreamDatagram | {"status": "shed", "retry_after_s": 1}                                        |
      | 51a2 0007 61 d101 05           | UpstreamDatagram | {"status": "answered", "retry_after_s": 0}                                    |
      | 5101 0007 61                   | Malformed        | {"reason": "the datagram isn't a response"}                                   |
      | 7000 0007                      | Malformed        | {"reason": "the datagram isn't a response"}                                   |

  Scenario: Decoding arbitrary bytes as a datagram gives a typed result
    When callers and targets send arbitrary bytes
    Then each datagram is decoded, or dropped with a reason
