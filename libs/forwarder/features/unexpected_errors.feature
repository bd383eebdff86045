Feature: An unexpected error doesn't end a balancer

  Scenario Outline: Callers are served while every <input> causes an error
    Given a running deployment whose balancers fail at every <input>
    When 3 s pass
    And 20 flows are opened one after the other and send a request
    Then every request is answered
    And every balancer still runs
    And the errors are counted, and logged once a second at most
    And no balancer calls the store more than 15 times in 3 s

    Examples:
      | input             |
      | message of a peer |
      | watch's response  |

  Scenario: A balancer that can't do its regular work ends
    Given a running deployment
    When a balancer is restarted that fails at every tick
    Then it exits with status 1 within 10 s
