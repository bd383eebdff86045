Feature: Real balancers in front of stand-ins

  Scenario: Requests are answered by targets of the callers' data centre
    Given a running deployment
    When 40 flows are opened one after the other and ask for an answer
    Then every request is answered
    And every target that answered is in the callers' data centre

  Scenario: A killed balancer breaks no flow
    Given a running deployment
    When 20 flows ask for an answer
    And a balancer is killed
    Then every flow gets an answer to its next request

  Scenario: The program that is built for instances serves like its sources
    Given a running deployment
    When a balancer is started again from the built program
    Then it is back in rotation within 6 s
    When 20 flows ask for an answer
    Then every request is answered
    And every balancer still runs

  Scenario: A balancer that is told to stop serves until routers have noticed
    Given a running deployment
    When 20 flows ask for an answer
    And a balancer is told to stop
    Then every flow gets an answer to its next request
    And the balancer ends by itself with status 0
    And no flow was reset

  Scenario: A target that ends is found out before its entry goes
    Given a running deployment
    When 20 flows ask for an answer
    And a target ends while its entry stays
    And all flows ask again
    Then new flows are answered within 1 s
    And every flow of the ended target is reset

  Scenario: A leaving target gets no new flows and keeps the open ones
    Given a running deployment
    When 20 flows ask for an answer
    And a target says that it leaves
    Then new flows avoid it within 3 s
    And every flow gets an answer to its next request
    And no flow was reset

  Scenario: A new configuration is in force on every balancer
    Given a running deployment
    When a route is added
    Then flows to it are answered through every balancer within 3 s

  Scenario Outline: The store is away and comes back
    Given a running deployment
    When every balancer finds the store <away>
    And a balancer is killed and started again
    Then it is back in rotation within 6 s
    When 20 flows ask for an answer
    Then every request is answered
    When the store answers again and a target is added
    Then new flows reach the added target within 4 s

    Examples:
      | away    |
      | silent  |
      | reset   |
      | one way |
      | delayed |
      | busy    |

  Scenario: A store that lost its history is read anew
    Given a running deployment
    When the store forgets its history while a target is added
    Then new flows reach the added target within 4 s

  Scenario: A store of several pages
    Given a running deployment with 120 foreign entries
    When 20 flows ask for an answer
    Then every request is answered

  Scenario: What can't be read harms nothing
    Given a running deployment
    When foreign writers and strangers send garbage everywhere
    And 20 flows ask for an answer
    Then every request is answered
    And every balancer still runs
    And the metrics count what was refused

  Scenario: Settings that are wrong end the start with one line
    When a balancer is started with wrong settings
    Then it ends with status 2 and names every fault in one line

  Scenario Outline: Settings change while it runs
    Given a running deployment
    When the settings of a balancer change <how>
    Then its log says that they were <outcome>
    And every balancer still runs

    Examples:
      | how                                  | outcome |
      | with a signal                        | taken   |
      | without a signal                     | taken   |
      | to something wrong, with a signal    | refused |

  Scenario: A paused balancer goes on without harm
    Given a running deployment
    When 20 flows ask for an answer
    And a balancer is paused for 2 s
    Then every flow gets an answer to its next request
    And its log says that it stood still

  Scenario: SYNs that waited in a paused balancer don't lead callers astray
    Given a running deployment
    When 20 flows are opened just before routers leave a paused balancer out
    And it goes on
    Then no target but its own got a SYN of any flow
    And every flow gets an answer to its next request

  Scenario: The first callers of a balancer that has run for long are served at once
    Given a running deployment
    When nobody asks anything for 1500 ms
    And 20 flows ask for an answer
    Then every request is answered
    And no SYN was dropped
