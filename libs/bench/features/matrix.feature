Feature: Every promise holds under every fault at every step

  Scenario Outline: <fault> at every step
    When "<fault>" is injected at every step
    Then every promise holds

    Examples:
      | fault                         |
      | balancer killed               |
      | balancer joins                |
      | balancer leaves               |
      | balancer frozen 10 s          |
      | balancer frozen 2.5 s         |
      | upstream drained              |
      | several upstreams drained     |
      | upstream killed               |
      | upstream sheds                |
      | upstream silent               |
      | upstream cold                 |
      | upstream health lies          |
      | template uneven               |
      | template stale                |
      | platform down                 |
      | list lies                     |
      | peers cut one way             |
      | peers cut both ways           |
      | data centres cut              |
      | data centre cut from platform |
      | loss                          |
      | doubling                      |
      | reordering                    |
      | silent paths                  |
      | callers rebound               |

  Scenario: Random pairs of faults
    When 40 seeded pairs of faults are injected
    Then every promise holds

  Scenario: The checks detect each mutation of the core
    When each mutation is applied to the core
    Then the checks detect each mutation
