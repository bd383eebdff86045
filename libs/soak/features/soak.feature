Feature: Real balancers keep their promises under faults

  Scenario Outline: A short soak
    When seed <seed> is run for <seconds> s
    Then no promise is broken
    And at least 1000 requests were answered

    Examples: Seeds for every run
      | seed | seconds |
      | 1    | 8       |

    Examples: Seeds that failed: JSON that can't be read ended every balancer
      | seed | seconds |
      | 106  | 12      |

    Examples: Seeds that failed: a check that excused no target that had just ended
      | seed | seconds |
      | 601  | 12      |

  Scenario Outline: A broken build is noticed
    When seed <seed> is run with "<mutation>"
    Then the promise that it breaks is seen to be broken

    Examples:
      | seed | mutation                                    |
      | 1    | flows go to any service             |
      | 1    | balancers name a target differently |
      | 1    | new routes are ignored              |

  Scenario: A soak in which nothing can be asked keeps no promise
    When a soak is run whose balancers end at their start
    Then the broken promise is "balancers start"

  Scenario: The proxy harms connections as it is told
    Then a call through the proxy is answered, silenced, reset and delayed
