Feature: Packets that arrive before a balancer can serve them are held

  # Guards against SYNs that are dropped since the process, not the SYN, is 200 ms old.
  Scenario: Each SYN has its own wait
    Given a balancer that knows targets and a configuration
    And its port isn't open yet
    When a SYN arrives, and another one 250 ms later
    And the port opens
    Then the first SYN is dropped as "stale_syn"
    And the second SYN goes to a target
