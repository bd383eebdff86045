Feature: Faults under load

  Scenario: A short run of faults ends with a clean audit
    When faults are made for about 45 s with seed 1
    Then nothing was doubled, crossed or answered wrongly
    And lines were silent no longer than each fault allows
