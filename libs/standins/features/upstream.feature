Feature: An upstream runs requests and keeps a ledger

  Scenario: A repeated confirmable request runs once and is answered again
    Given an upstream of pivot-link
    When a confirmable command "c1" with message id 7 arrives
    And 20 ms pass
    And a confirmable command "c1" with message id 7 arrives
    And 20 ms pass
    Then the ledger holds the ids "c1"
    And the answers are "2.04 2.04"

  Scenario: A confirmable request that is repeated while it runs stays one run
    Given an upstream of pivot-link
    When a confirmable command "c1" with message id 7 arrives
    And a confirmable command "c1" with message id 7 arrives
    And 20 ms pass
    Then the ledger holds the ids "c1"
    And the answers are "2.04"

  Scenario: Requests beyond the slots and the queue are shed and not run
    Given an upstream of pivot-link
    And the control sets {"queue": 1}
    When the commands "c1 c2 c3 c4" arrive
    And 20 ms pass
    And 20 ms pass
    Then the ledger holds the ids "c1 c2 c3"
    And the answers are "5.03 2.04 2.04 2.04"
    And the answer 5.03 names a time to come back

  Scenario Outline: An upstream that refuses new work finishes what it runs
    Given an upstream of pivot-link
    When the commands "c1" arrive
    And the control sets {"mode": "<mode>"}
    And the commands "c2" arrive
    And a line is asked for
    And 20 ms pass
    Then the ledger holds the ids "c1"
    And the answers are "5.03 5.03 2.04"

    Examples:
      | mode     |
      | draining |
      | shed     |

  Scenario: A silent upstream answers nothing and runs nothing new
    Given an upstream of pivot-link
    When the control sets {"mode": "silent"}
    And the commands "c1" arrive
    And 20 ms pass
    Then the ledger holds the ids ""
    And the answers are ""

  Scenario: A request whose deadline passes while it waits is not run
    Given an upstream of pivot-link
    When the commands "c1 c2" arrive
    And the command "c3" with 10 ms left arrives
    And 20 ms pass
    Then the ledger holds the ids "c1 c2"
    And the answers are "2.04 5.03 2.04"

  Scenario: A request for another service runs nothing
    Given an upstream of pivot-link
    When the command "c1" for host "dossier-desk.dossier-hub-balancing" arrives
    And 20 ms pass
    Then the ledger holds one foreign request and no run
    And the answers are "4.04"

  Scenario: A request that names the upstream's own host is run
    Given an upstream of pivot-link
    When the command "c1" for host "pivot-link.pivot-command-relay" arrives
    And 20 ms pass
    Then the ledger holds the ids "c1"
    And the answers are "2.04"

  Scenario: A datagram that isn't CoAP is counted and dropped
    Given an upstream of pivot-link
    When the bytes "ffff00" arrive
    And the commands "c1" arrive
    And 20 ms pass
    Then 1 datagram was malformed
    And the answers are "2.04"

  Scenario: An upstream is slower after its start
    Given an upstream of pivot-link
    And the control sets {"cold_start_ms": 1000}
    When the commands "c1" arrive
    And 20 ms pass
    Then the answers are ""
    When 80 ms pass
    Then the answers are "2.04"

  Scenario Outline: A whole body is read block by block
    Given an upstream of <service>
    When the body of "<path>" is read in blocks of size exponent <exponent>
    Then the body is the one that belongs to the path
    And every block has the ETag of the body

    Examples:
      | service      | path      | exponent |
      | pack-vault   | /pack/3   | 6        |
      | pack-vault   | /pack/4   | 2        |
      | usage-ledger | /report/9 | 5        |

  Scenario: A line is notified in order until it is closed
    Given an upstream of pivot-link
    When a line is asked for
    And 1000 ms pass
    And 1000 ms pass
    Then the line's sequence is "1 2 3"
    When the line is closed
    And 1000 ms pass
    Then no line is open
    And the line's sequence is "1 2 3"

  Scenario: A renewed line stays one line
    Given an upstream of pivot-link
    When a line is asked for
    And a line is asked for
    And 1000 ms pass
    Then the line's sequence is "1 2 3"
    And the ledger holds 1 registration

  Scenario: A reset of a notification closes its line
    Given an upstream of pivot-link
    When a line is asked for
    And 1000 ms pass
    And the last notification is reset
    And 1000 ms pass
    Then no line is open
    And the line's sequence is "1 2"

  Scenario: The load report is true, late or false
    Given an upstream of pivot-link
    When the commands "c1 c2 c3" arrive
    Then the load report is 3 busy and 0 lines
    When the control sets {"load_lag_s": 5}
    Then the load report is 0 busy and 0 lines
    When the control sets {"load_lie": {"busy": 9}}
    Then the load report is 9 busy and 0 lines
