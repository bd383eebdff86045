Feature: Later news don't postpone what is due

  # Guards against announced versions that each put off the fetch of the one before.
  Scenario Outline: Configurations in quick succession reach everyone within the platform's bound
    Given <count> balancers with <routes> routes that have run for 5000 ms
    When the configuration changes every 330 ms for 12000 ms
    Then no balancer has been behind for more than 3000 ms

    Examples:
      | count | routes |
      | 6     | 494    |
      | 12    | 200    |
      | 45    | 1600   |

  # Guards against targets found outdated again and again, which put the fetch off.
  Scenario: Changes of targets don't postpone the fetch of a configuration
    Given a follower of a reader, with 100 members
    When version 6 is announced, and for 3000 ms the targets are outdated and current by turns
    Then it has called for the configuration within 1100 ms

  # Guards against fetches of configurations that always come before that of targets.
  Scenario: Configurations in quick succession don't postpone the fetch of targets
    Given a follower of a reader, with 6 members
    When for 3000 ms its targets are outdated and a version is announced each 100 ms
    Then it has called for the targets within 1200 ms

  # Guards against beacons of failing readers that put off a takeover without end.
  Scenario: Failing readers don't postpone a takeover without bound
    Given a follower of a reader, with 10 members
    When for 6000 ms only readers without contact are heard, each 10 ms
    Then it has become the reader within 3000 ms

  # Guards against a lost reader that isn't replaced while its followers read the store.
  Scenario: A follower's own reads don't postpone its takeover
    Given a follower of a reader, with 6 members
    When the reader falls silent, and the store answers the follower each 400 ms for 4000 ms
    Then it has become the reader within 2000 ms

  # Guards against older versions in force that put off the search for a newer one.
  Scenario: Older versions in force don't postpone the search for a newer one
    Given a follower that hears of version 50 while version 10 is in force
    When a version, still older than that, is put in force each 500 ms for 5000 ms
    Then the store is read again for version 50 within 4000 ms

  Scenario: A version that is heard of after the one before is in force is waited for anew
    Given a follower that hears of version 50 while version 10 is in force
    When it hears of version 60, and version 50 is put in force 2000 ms later
    Then the store isn't read again for 2900 ms
