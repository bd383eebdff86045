Feature: A balancer's settings

  Scenario: All errors in a settings file are reported before startup
    When a balancer is started with a missing name, a bad address and a bad log level
    Then it exits with status 1 and reports the places
      | place        |
      | instance     |
      | peer_address |
      | log.level    |
