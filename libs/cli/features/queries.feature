Feature: Querying balancers on the command line

  Scenario: A status is shown as tables
    Given a balancer that answers with a full status
    When "status BALANCER" is run
    Then the output is the full status as tables

  Scenario: A status is printed as JSON
    Given a balancer that answers with a full status
    When "status BALANCER --json" is run
    Then the output is the full status as JSON

  Scenario Outline: Any answer of a balancer is shown
    Given a balancer that answers <answer>
    When "status BALANCER" is run
    Then it exits with <status> and prints "<text>"

    Examples:
      | answer                                          | status | text           |
      | {}                                              | 0      |                |
      | {"members": null, "services": {"a": 1}}         | 0      |                |
      | {"latency_ms": {"a/b": 3}, "counters": []}      | 0      | a/b            |
      | {"services": {"a": {"targets": [1, {}]}}}       | 0      | in_flight      |
      | {"extra": [[1], {"a": {"b": [2]}}]}             | 0      | extra          |
      | {"instance": "\u001b[2J"}                       | 0      | ?[2J           |
      | {"error": "busy"}                               | 1      | Error: busy    |
      | []                                              | 3      | isn't an object |
      | not JSON                                        | 3      | isn't JSON     |

  Scenario Outline: The balancer receives the query and its argument
    Given a balancer that answers {"decisions": [{"what": "refused", "why": "no slot"}]}
    When "<command>" is run
    Then it exits with 0 and prints "no slot"
    And the balancer received "<query>" with "<argument>" <times> times

    Examples:
      | command                                           | times | query   | argument        |
      | explain BALANCER 127.0.0.9:40000                  | 1     | explain | 127.0.0.9:40000 |
      | explain BALANCER pivot-link-3 --json              | 1     | explain | pivot-link-3    |
      | drain BALANCER                                    | 1     | drain   |                 |
      | status BALANCER --json --watch 0.01 --count 3     | 3     | status  |                 |

  Scenario Outline: Several balancers are queried, or one until a condition is met
    Given a balancer that answers with a full status
    When "<command>" is run
    Then it exits with <status> and prints "<text>"

    Examples:
      | command                                          | status | text                          |
      | status BALANCER CLOSED --json --timeout 0.3      | 3      | "error": "no answer from      |
      | status BALANCER CLOSED --timeout 0.3             | 3      | unreachable                   |
      | status BALANCER --fleet --timeout 0.3            | 0      | address of tifton-2 isn't known |
      | status BALANCER --until-state serving            | 0      | tifton-1                      |
      | status BALANCER --until-version 2 --within 0.1   | 1      | not so everywhere after 0.1 s |
      | drain BALANCER --wait 0.1                        | 1      | left                          |

  Scenario Outline: A version is waited for at the members too
    Given a balancer that answers {"template_version": 2, "members": [{"name": "tifton-2", "status": "<status>", "template_version": <version>}]}
    When "status BALANCER --until-version 2 --within 0.1" is run
    Then it exits with <exit> and prints "tifton-2"

    Examples:
      | status  | version | exit |
      | alive   | 1       | 1    |
      | alive   | 2       | 0    |
      | alive   | null    | 1    |
      | suspect | 1       | 0    |
      | dead    | 1       | 0    |
