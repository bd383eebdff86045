Feature: Settings of a balancer

  Scenario: The example settings are valid
    Then each example of settings is accepted

  Scenario: All faults of settings are reported together
    Given the example settings with these changes
      | place                | value            |
      | instance             | "No Name"        |
      | address              | "127.10.1.1:80"  |
      | operator_address     | "127.20.10.1:7946"|
      | platform_url         | "http://platform:8500" |
      | statsd_address       | "127.10.1.1"     |
      | log.level            | "LOUD"           |
      | timing.echo_life_ms  | 360000           |
      | timing.ping_timeout_ms | 1000           |
      | timing.drain         | 5                |
      | seeds                | ["127.10.1.2", "127.10.1.2:1", "127.10.1.2:1", 7, "127.20.10.1:7946"] |
    When the settings are parsed
    Then these findings are reported
      | place               | reason                                |
      | instance            | a name of 1 to 63                     |
      | address             | not an IPv4 address                   |
      | operator_address    | is the peer address too               |
      | platform_url        | IPv4 number as its host               |
      | statsd_address      | not IP:port                           |
      | log.level           | "WARNING"                             |
      | timing.echo_life_ms | and 60000 more must be less than remember_ms |
      | timing.ping_timeout_ms | must be less than ping_interval_ms |
      | timing.drain        | did you mean 'drain_ms'?              |
      | seeds[0]            | not IP:port                           |
      | seeds[2]            | given twice                           |
      | seeds[3]            | IP:port in numbers                    |
      | seeds[4]            | own address                           |

  Scenario: Omitted intervals have their defaults
    Given the example settings with these changes
      | place           | value |
      | timing.drain_ms | 100   |
    When the settings are parsed
    Then drain_ms is 100 and echo_life_ms is 120000
