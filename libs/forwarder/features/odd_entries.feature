Feature: One odd entry among those of the targets changes nothing for the others

  # Guards against entries that end the process that reads them, or that it reads again
  # and again.
  Scenario: Entries that name no target are refused, and the list is followed
    Given a balancer that knows targets and a configuration
    When each kind of odd entry arrives in a watch, and goes again
    Then it has followed the list each time
    And it can tell peers all that it knows
    When all kinds of odd entries are listed at once
    Then it has followed the list each time
    And it can tell peers all that it knows

  Scenario: Keys that contain no id name no target
    Given a balancer that knows targets and a configuration
    When entries under each kind of odd key arrive
    Then it knows no target but its first one
    And it can tell peers all that it knows

  # Guards against a page that is asked for again and again.
  Scenario: A page goes on after the last key that can be asked for
    When a page ends with a key that holds a lone surrogate, and others follow
    Then the next page starts after the key before it

  # Guards against a listing that lacks targets and counts as complete.
  Scenario: A page without items that isn't the last one is invalid
    When a page has no items, and others follow
    Then the page is invalid

  # Guards against a peer's word that is taken over without the checks of the store's.
  Scenario: Odd entries of peers change nothing
    Given a balancer that knows targets and a configuration
    When each kind of odd target arrives in a change and in the targets of a peer
    Then it knows no target but its first one
    And it can tell peers all that it knows

  Scenario: Running balancers follow the list beside odd entries
    Given a running deployment
    When another writer leaves each kind of odd entry
    And a target is added
    Then flows reach the added target within 4 s
    And every balancer follows the store's list within 4 s
    When every balancer is restarted
    And a target is added
    Then flows reach the added target within 4 s
    And every balancer follows the store's list within 4 s
    When the odd entries are removed
    And a target is added
    Then flows reach the added target within 4 s
    And every balancer follows the store's list within 4 s
    And no balancer has ended or reported an unexpected error

  # Guards against a long list that no attempt reads to its end.
  Scenario: A listing goes on at the page that was late
    Given a balancer that knows targets and a configuration
    When a page of a listing arrives and the next one is late
    Then the next listing starts after the page that arrived
    When the rest arrives
    Then the targets of both pages are known

  Scenario Outline: A listing starts from its first page <when>
    Given a balancer that knows targets and a configuration
    When a page of a listing arrives and the next one is late
    And <event>
    Then the next listing starts from its first page

    Examples:
      | when                                | event                                   |
      | if the pages before are too old     | 5000 ms pass until the next listing     |
      | if a change was missed since        | the targets are to be read again        |
      | if the first page was the late one  | the first page of a listing is late too |

  # Guards against an answer that is refused again and again.
  Scenario: Running balancers follow the list beside entries too large for one answer
    Given a running deployment
    When a target is added
    Then flows reach the added target within 4 s
    When 2 s pass
    And another writer leaves 8 entries of 1000000 bytes at once
    And a target is added
    Then flows reach the added target within 4 s
    And every balancer follows the store's list within 4 s
    When every balancer is restarted
    And a target is added
    Then flows reach the added target within 4 s
    And every balancer follows the store's list within 4 s
    And no balancer has ended or reported an unexpected error

  Scenario: Running balancers follow the list beside odd words of a peer
    Given a running deployment
    When every balancer gets each kind of odd target from a peer
    And a target is added
    Then flows reach the added target within 4 s
    And every balancer follows the store's list within 4 s
    And no balancer has ended or reported an unexpected error
