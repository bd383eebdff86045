Feature: Home of a flow

  Background:
    Given a balancer that serves

  Scenario Outline: A command whose Echo doesn't allow it to run
    When a command comes with <echo>
    Then no target gets it
    And its caller is answered <answer>

    Examples:
      | echo                                  | answer   |
      | no Echo                               | NeedEcho |
      | a forged Echo                         | NeedEcho |
      | an Echo of another service            | NeedEcho |
      | an expired Echo                       | NeedEcho |
      | an Echo older than what is remembered | Unknown  |
      | an Echo of a dead home                | Unknown  |
      | an Echo of a home that nobody knows   | Unknown  |

  Scenario: A copy from a rebound address gets the remembered answer
    Given a command that was run and answered
    When a copy of it comes from another address
    Then no target gets it
    And the answer is sent again, to that address

  Scenario: A copy from a rebound address while the command runs gets the only answer
    Given a command that runs
    When a copy of it comes from another address
    And the target answers
    Then the answer is sent again, to that address

  Scenario: A command of another home is relayed with that home's known pause count
    Given a peer that noticed 2 pauses
    When a command comes with an Echo of the peer
    Then it is relayed to the peer with pause count 2

  Scenario: What was queued before a pause is discarded
    When a command that was queued before a pause is handled after it
    Then no target gets it
    And its caller gets no answer

  Scenario: A target's answer that was queued before a pause reaches the caller
    Given a command that runs
    When the target's answer was queued before a pause and is handled after it
    Then the answer is sent

  Scenario: A command that a target sheds during a pause isn't sent elsewhere
    Given a command that runs
    When the target's refusal was queued before a pause and is handled after it
    Then no target gets it
    And its caller is answered Refused

  Scenario: A command that wasn't sent because of a pause is refused at once
    Given a command that runs
    When its sending is discarded after a pause
    Then its caller is answered Refused

  Scenario: A relay with an earlier pause count is discarded
    Given a peer that noticed 0 pauses
    When the peer relays a command with the pause count before a pause
    Then no target gets it
    And the peer receives the new pause count

  Scenario: A target that reports another service gets no requests
    Given a target that reports another service
    When a command comes with a fresh Echo
    Then no target gets it
    And its caller is answered Refused

  Scenario Outline: A request that was queued too long isn't served
    Given a balancer that serves
    When <request> is handled 500 ms after it arrived
    Then no target gets it
    And its caller <result>

    Examples:
      | request                 | result              |
      | a read                  | is answered Refused |
      | a command without Echo  | is answered Refused |
      | a command with its Echo | gets no answer      |
