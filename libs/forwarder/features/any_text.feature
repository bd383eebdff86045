Feature: No settings file and no HTTP request ends a balancer

  Scenario: Random settings are taken or refused with the fields that are wrong
    When 400 random settings files are parsed
    Then those taken hold numbers that a balancer can calculate with
    And those refused name a field each time

  Scenario: Random HTTP requests are answered or their connections closed
    Given an HTTP server
    When clients send 200 random requests
    Then a client that asks properly is answered
