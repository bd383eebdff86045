Feature: Metrics, operators and logs

  Scenario: Counters reach statsd
    Given metrics that are sent to a UDP listener
    When 2 and 3 are counted and a latency of 40 ms is recorded
    And the metrics are flushed
    Then statsd receives the sum and the latency's percentiles
    When 1 more is counted and the metrics are flushed
    Then statsd receives only the new count

  Scenario: Without an address metrics stay in memory
    Given metrics without an address
    When 2 and 3 are counted and a latency of 40 ms is recorded
    And the metrics are flushed
    Then the snapshot holds the sum and the latency

  Scenario: Snapshots of several balancers are merged
    Given 3 snapshots with latencies 1 to 300 distributed across them
    When they are merged
    Then the merged percentiles are those of all latencies together
    And the merged snapshot survives JSON

  Scenario: An operator's query is answered
    Given an operator edge and an operator
    When the operator asks to explain a flow and the core answers
    Then the operator receives the core's answer

  Scenario: Invalid requests are answered with an error and the edge continues
    Given an operator edge and an operator
    When the operator sends invalid requests
    Then each invalid request is answered with an error
    When the operator asks to explain a flow and the core answers
    Then the operator receives the core's answer

  Scenario: A query without an answer gets an error and a late answer is dropped
    Given an operator edge that waits 0 seconds for answers
    When the operator asks and the core answers too late
    Then the operator receives an error

  Scenario: An answer that can't be serialized becomes an error
    When an operator's answer that can't be serialized is encoded
    Then the encoded answer is an error

  Scenario: Decoding arbitrary bytes as an operator's request never raises
    When operators send arbitrary bytes
    Then each request is a query, or rejected with a reason

  Scenario Outline: State changes are logged without keys and tokens
    Given the log is set to <format>
    When a change with a key, a token and bytes is logged
    Then the line shows its text and fields but no secret

    Examples:
      | format |
      | text   |
      | json   |
