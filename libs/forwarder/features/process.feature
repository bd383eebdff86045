Feature: Balancer processes in a simulated deployment

  Scenario: Requests are answered by targets of the callers' data centre
    Given a running deployment
    When 40 flows are opened one after the other and send a request
    Then every request is answered
    And every target that answered is in the callers' data centre

  Scenario: A killed balancer breaks no flow
    Given a running deployment
    When 20 flows send a request
    And a balancer is killed
    Then every flow gets an answer to its next request

  Scenario: The program built for instances serves requests
    Given a running deployment
    When a balancer is restarted from the built program
    Then it is back in rotation within 6 s
    When 20 flows send a request
    Then every request is answered
    And every balancer still runs

  Scenario: A stopping balancer serves until routers have removed it
    Given a running deployment
    When 20 flows send a request
    And a balancer receives SIGTERM
    Then every flow gets an answer to its next request
    And the balancer exits with status 0
    And no flow was reset

  Scenario: A crashed target is detected while its entry is still listed
    Given a running deployment
    When 20 flows send a request
    And a target crashes while its entry stays listed
    And all flows send another request
    Then new flows are answered within 1 s
    And every flow of the crashed target is reset

  Scenario: A leaving target gets no new flows and keeps the open ones
    Given a running deployment
    When 20 flows send a request
    And the entry of a target changes to draining
    Then new flows avoid it within 3 s
    And every flow gets an answer to its next request
    And no flow was reset

  Scenario: A new configuration takes effect on every balancer
    Given a running deployment
    When a route is added
    Then flows to it are answered through every balancer within 3 s

  Scenario Outline: Balancers serve and restart while the store is unavailable
    Given a running deployment
    When the store is <mode> for every balancer
    And a balancer is killed and restarted
    Then it is back in rotation within 6 s
    When 20 flows send a request
    Then every request is answered
    When the store recovers and a target is added
    Then new flows reach the added target within 4 s

    Examples:
      | mode    |
      | silent  |
      | reset   |
      | one way |
      | delayed |
      | busy    |

  Scenario: Targets are listed again after the store lost its history
    Given a running deployment
    When the store loses its history while a target is added
    Then new flows reach the added target within 4 s

  Scenario Outline: Targets are followed after the store came back from an older copy
    Given a running deployment
    When the store comes back from a copy, 5 s old, after <lost>
    And <writes> other items are written at once
    And 6 s pass
    Then new flows <result> within 1 s
    When a target is added
    Then new flows reach the added target within 4 s
    And every balancer knows the targets and configuration within 3 s
    And no flow of another target was reset

    Examples:
      | lost                      | writes | result                 |
      | a target started to drain | 0      | avoid it               |
      | a target started to drain | 200    | avoid it               |
      | a target was added        | 0      | reach the added target |
      | a target was added        | 200    | reach the added target |
      | a target ended            | 0      | avoid it               |
      | a target ended            | 200    | avoid it               |

  Scenario: A configuration stays in force when the store comes back without it
    Given a running deployment
    When the store comes back from a copy, 5 s old, after a route was added
    And a balancer is killed and restarted
    Then flows to it are answered through every balancer within 3 s

  Scenario: A leaving target gets no flows while the store's copy says that it is ready
    Given a running deployment
    When the store comes back from a copy, 5 s old, after a target started to drain
    Then no flow reaches it in the next 4 s

  Scenario: Entries are read from several pages of the store
    Given a running deployment with 120 invalid entries
    When 20 flows send a request
    Then every request is answered

  Scenario: Invalid input doesn't affect requests
    Given a running deployment
    When invalid data is written to the store and sent to every port
    And 20 flows send a request
    Then every request is answered
    And every balancer still runs
    And the metrics count the rejected input

  Scenario: Invalid settings are reported in one line at startup
    When a balancer is started with invalid settings
    Then it exits with status 2 and reports every error in one line

  Scenario Outline: Changed settings are reloaded at runtime
    Given a running deployment
    When the settings of a balancer change <how>
    Then its log reports that they were <outcome>
    And every balancer still runs

    Examples:
      | how                                  | outcome |
      | with a signal                        | taken   |
      | without a signal                     | taken   |
      | to something wrong, with a signal    | refused |

  Scenario: A signal to reload doesn't end a balancer whose program is being loaded
    When SIGHUP arrives while the built program loads its modules
    Then the program runs on

  Scenario: Flows survive a pause of their balancer
    Given a running deployment
    When 20 flows send a request
    And a balancer is paused for 2 s
    Then every flow gets an answer to its next request
    And its log reports the pause

  Scenario: SYNs queued in a paused balancer open no flow at a second target
    Given a running deployment
    When 20 flows are opened just before routers remove a paused balancer
    And the paused balancer resumes
    Then the SYNs of each flow reach only one target
    And every flow gets an answer to its next request

  Scenario: No request runs at two targets that both answered a SYN
    Given a running deployment
    When 120 flows are opened while callers and targets pause for 210 ms at a time
    Then no request ran twice

  Scenario: The first requests after an idle period are served at once
    Given a running deployment
    When no requests are sent for 1500 ms
    And 20 flows send a request
    Then every request is answered
    And no SYN was dropped
