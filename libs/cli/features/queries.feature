Feature: Asking a balancer on the command line

  Scenario: A whole status is laid out in tables
    Given a balancer that answers with a whole status
    When "status BALANCER" is run
    Then the exit status is 0
    And the balancer was asked for "status" with ""
    And the output is the table of the whole status

  Scenario Outline: Whatever a balancer answers is shown
    Given a balancer that answers <answer>
    When "status BALANCER" is run
    Then the exit status is <status>

    Examples:
      | answer                                          | status |
      | {}                                              | 0      |
      | {"members": null, "services": {"a": 1}}         | 0      |
      | {"latency_ms": {"a/b": 3}, "counters": []}      | 0      |
      | {"services": {"a": {"targets": [1, {}]}}}       | 0      |
      | {"extra": [[1], {"a": {"b": [2]}}]}             | 0      |
      | {"error": "busy"}                               | 1      |
      | []                                              | 3      |
      | not JSON                                        | 3      |

  Scenario: Text from a balancer can't steer the terminal
    Given a balancer that answers {"instance": "\u001b[2J"}
    When "status BALANCER" is run
    Then the output has no escape character

  Scenario: A status is watched
    Given a balancer that answers {"instance": "tifton-1"}
    When "status BALANCER --json --watch 0.01 --count 3" is run
    Then the output has 3 lines of JSON

  Scenario Outline: A query carries its argument
    Given a balancer that answers {"decisions": [{"what": "refused", "why": "no slot"}]}
    When "<command>" is run
    Then the exit status is 0
    And the balancer was asked for "<query>" with "<argument>"
    And the output names
      | text    |
      | no slot |

    Examples:
      | command                              | query   | argument       |
      | explain BALANCER 127.0.0.9:40000     | explain | 127.0.0.9:40000 |
      | explain BALANCER pivot-link-3 --json | explain | pivot-link-3   |
      | drain BALANCER                       | drain   |                |
