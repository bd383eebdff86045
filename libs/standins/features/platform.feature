Feature: The platform is read and watched

  Scenario: A watch is answered by the next version
    Given a served platform with template version 1
    When a reader watches for a version after 1
    And template version 2 is published
    Then the watch is answered with version 2

  Scenario: A watch whose version is old is answered at once
    Given a served platform with template version 2
    When a reader watches for a version after 1
    Then the watch is answered with version 2

  Scenario: A watch ends without a new version
    Given a served platform with template version 1
    When a reader watches for 0 seconds for a version after 1
    Then the watch is answered with status 204

  Scenario: A platform that goes down answers nobody
    Given a served platform with template version 1
    When a reader watches for a version after 1
    And the platform's control sets {"mode": "down"}
    Then the watch is answered with status 503
    And a read of "/v1/template" has status 503
    And a read of "/v1/instances?workspace=relay" has status 503

  Scenario: No template has been published
    Given a served platform without a template
    Then a read of "/v1/template" has status 404

  Scenario: A faulty document is handed out as it is
    Given a served platform without a template
    When the bytes "{not json" are published as the template
    Then a read of the template returns the bytes "{not json"

  Scenario: Each call counts, a waiting watch too
    Given a served platform with template version 1
    When a reader watches for a version after 1
    And the template is read 3 times
    Then 4 calls are counted
    And operators' calls are not counted

  Scenario: A stale platform answers what it had
    Given a platform on a virtual clock with template version 1
    When the platform's control sets {"mode": "stale"}
    And 5 s pass on the platform
    And template version 2 is published
    Then reader "127.0.0.1" sees version 1
    When the platform's control sets {"mode": "up"}
    Then reader "127.0.0.1" sees version 2

  Scenario: Readers see a new version unevenly
    Given a platform on a virtual clock with template version 1
    When the platform's control sets {"late_readers": {"127.0.0.2": 10}}
    And 5 s pass on the platform
    And template version 2 is published
    Then reader "127.0.0.1" sees version 2
    And reader "127.0.0.2" sees version 1
    When 10 s pass on the platform
    Then reader "127.0.0.2" sees version 2

  Scenario: The list of instances lags
    Given a platform on a virtual clock with template version 1
    When the platform's control sets {"lag_s": 3}
    And the instances "a" are published
    And 1 s pass on the platform
    And the instances "a b" are published
    Then the list shows "a"
    When 3 s pass on the platform
    Then the list shows "a b"
