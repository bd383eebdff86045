Feature: The test runner

  Scenario Outline: A failing scenario is passed over only if KNOWN-RED.txt lists it
    Given a library whose scenario outline fails for the examples 2 and 3
    And KNOWN-RED.txt lists <listed>
    When the runner is started
    Then it exits with <status> and ends with "<counts>"
    And it prints "<printed>"

    Examples:
      | listed                               | status | counts             | printed                                 |
      | "demo: Numbers are small -- @1.2", "demo: Numbers are small -- @1.3" | 0 | 1 passed, 0 failed | known red: demo: Numbers are small -- @1.2 |
      | "demo: Numbers are small -- @1.2"    | 1      | 1 passed, 1 failed | FAILED: demo: Numbers are small -- @1.3 |
      | "demo: Numbers are small"            | 1      | 1 passed, 2 failed | FAILED: demo: Numbers are small -- @1.2 |
      | "demo: Numbers are small -- @1.2, flaky" | 1  | 1 passed, 2 failed | FAILED: demo: Numbers are small -- @1.2 |
      | ""                                   | 1      | 1 passed, 2 failed | FAILED: demo: Numbers are small -- @1.3 |
