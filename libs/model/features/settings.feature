Feature: Settings of a balancer

  Scenario: The example settings are accepted
    Then each example of settings is accepted

  Scenario: All faults of settings are reported together
    Given settings changed so
      | place                | value            |
      | instance             | "No Name"        |
      | address              | "127.10.1.1:80"  |
      | operator_address     | "127.10.1.1:7946"|
      | platform_url         | "http://platform:8500" |
      | statsd_address       | "127.10.1.1"     |
      | log.level            | "LOUD"           |
      | timing.echo_life_ms  | 420000           |
      | timing.drain         | 5                |
    When the settings are parsed
    Then these findings are reported
      | place               | reason                                |
      | instance            | a name of 1 to 63                     |
      | address             | not an IPv4 address                   |
      | operator_address    | is the peer address too               |
      | platform_url        | IPv4 number as its host               |
      | statsd_address      | not IP:port                           |
      | log.level           | "WARNING"                             |
      | timing.echo_life_ms | must be less than remember_ms         |
      | timing.drain        | did you mean 'drain_ms'?              |

  Scenario: Intervals that aren't given have their defaults
    Given settings changed so
      | place           | value |
      | timing.drain_ms | 100   |
    When the settings are parsed
    Then drain_ms is 100 and echo_life_ms is 120000
