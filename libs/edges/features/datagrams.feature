Feature: The edges towards callers and targets

  Scenario: A caller's request is posted and answered from its entry port
    Given a caller edge that serves pivot-link
    When a caller sends a confirmable command
    Then its request is posted with the caller's address
    When the edge answers it with NeedEcho
    Then the caller receives the answer from the entry port

  Scenario: Acknowledgements, resets, pings and malformed datagrams are distinguished
    Given a caller edge that serves pivot-link
    When a caller sends an acknowledgement, a reset, a ping and a malformed datagram
    Then the acknowledgement and the reset are posted, the malformed datagram counted
    And the caller receives a reset for its ping

  Scenario: Entry ports open and close while the edge runs
    Given a caller edge that serves pivot-link
    When its service is renamed to dossier-desk
    And a caller sends a confirmable command
    Then its request is posted for dossier-desk
    When no service is served any longer
    Then the socket of the entry port is closed

  Scenario: An entry port in use is reported and retried
    Given a caller edge whose entry port is in use
    Then the bind failure names the port
    When the port is free and the services are set again
    Then no bind failure is reported

  Scenario: An answer that can't be sent is counted
    Given a caller edge that serves pivot-link
    When the edge answers flows of other services and addresses
    Then each of those answers is counted as not sent

  Scenario Outline: Datagrams that waited during a pause are discarded
    Given a caller edge that serves pivot-link
    When a caller sends 100 commands and the clock advances by <gap> ms
    Then <posted> commands are posted and <discarded> are counted as discarded

    Examples:
      | gap  | posted | discarded |
      | 1000 | 100    | 0         |
      | 1001 | 0      | 100       |

  Scenario: After a pause the edge handles new datagrams
    Given a caller edge that serves pivot-link
    When a caller sends 5 commands and the clock advances by 5000 ms
    Then 0 commands are posted and 5 are counted as discarded
    When a caller sends 3 commands and the clock advances by 10 ms
    Then 3 commands are posted and 5 are counted as discarded

  Scenario: A pause while a batch is handled discards the rest of it
    Given a caller edge that serves pivot-link
    And the clock advances by 5000 ms when the third event is posted
    When a caller sends 10 commands and the clock advances by 10 ms
    Then 3 commands are posted and 7 are counted as discarded

  Scenario: A target's reply is posted with its path
    Given an upstream edge and a target
    When a request is sent on path 7 and the target replies confirmably
    Then the reply is posted with the target and path 7
    And the target receives an acknowledgement

  Scenario Outline: A target's datagram that waited during a pause
    Given an upstream edge and a target
    When a request is sent, the target sends <datagram> and the clock advances by 5000 ms
    Then <posted> replies are posted and <discarded> are counted as discarded

    Examples:
      | datagram       | posted | discarded |
      | a reply        | 1      | 0         |
      | a notification | 0      | 1         |

  Scenario: Targets answer identity queries
    Given an upstream edge and a target
    When the target answers the identity query
    Then the identity is posted

  Scenario: Identity queries don't stay on a path that may drop packets
    Given an upstream edge and a target
    When 3 queries are sent 10 seconds apart
    Then each came from a different socket, of which 2 are open

  Scenario: Identity answers with a wrong sender or format are dropped and counted
    Given an upstream edge and a target
    When queries are answered by another sender, with an invalid document and with 4.04
    Then no answer is posted and each is counted

  Scenario: The number of paths is bounded and the default path stays
    Given an upstream edge and a target
    When requests are sent on path 0 and on 70 others
    Then 65 sockets are open, path 0 among them

  Scenario: Message ids sent to one target are consecutive
    Given an upstream edge and a target
    When 1000 requests are sent on alternating paths
    Then their message ids are consecutive

  Scenario: An edge ends when it is stopped
    Given a caller edge that serves pivot-link
    When the running edge is stopped
    Then its task has ended
