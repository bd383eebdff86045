Feature: A balancer's settings

  Scenario: All faults of a settings file are reported before anything starts
    When a balancer is started with a missing name, a bad address and a bad log level
    Then it ends with status 1 and names the places
      | place        |
      | instance     |
      | peer_address |
      | log.level    |
