Feature: Stand-ins of the packet deployment answer as the platform's store does

  Scenario Outline: A client that doesn't read a large response stops nothing else
    Given a store whose response to a range is 16 MB, behind a proxy
    When a client asks <server> for it and doesn't read
    Then the loop runs on and other clients are answered
    And the client gets the whole response once it reads

    Examples:
      | server    |
      | the store |
      | the proxy |
