Feature: Bytes of control are counted by kind, apart from callers' packets

  Scenario: Datagrams between balancers
    Given a balancer that knows the members 10.0.0.2, 10.0.0.3
    When a reader asks it to pass a change on to 10.0.0.2, 10.0.0.3
    And the datagram ["Hello","z0",0,0] arrives there
    And the datagram ["nonsense"] arrives there
    Then the bytes received are counted as changes, membership, unreadable
    And the bytes sent are counted as changes, membership

  Scenario: Every message has a kind
    Then each type of message is counted under a kind

  Scenario: Requests to the store and answers to peers
    Given a server and a client that count bytes
    When the client gets 5000 bytes
    Then both have counted the same bytes, more than 5000 sent by the server
