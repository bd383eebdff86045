Feature: The store of the users' platform

  Scenario: Changes that are withheld from a host are missing from its watches only
    Given a store with 2 clients
    When the changes of "op/" are withheld from the first client
    And the store writes "op/config" and "servers/i-1"
    Then a watch of the first client returns "servers/i-1"
    And a watch of the second client returns "op/config" and "servers/i-1"
    And a read of the first client returns "op/config" and "servers/i-1"

  Scenario: A watch that is waiting doesn't return a change that is withheld
    Given a store with 2 clients
    When the changes of "op/" are withheld from the first client
    And both clients watch for 300 ms
    And the store writes "op/config"
    Then the watch of the first client returns nothing and the revision of the change
    And the watch of the second client returns "op/config"
