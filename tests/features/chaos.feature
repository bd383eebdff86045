Feature: Faults under load

  Scenario: A short run with injected faults violates no guarantee
    When faults are injected for about 45 s with seed 1
    Then no request was duplicated, misrouted or answered wrongly
    And lines were silent no longer than each fault allows
