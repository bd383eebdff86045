Feature: Going from one template to the next

  Background:
    Given a template of two workspaces is in force

  Scenario: Targets added, leaving and removed are told apart
    When the next template adds a target, lets one leave and removes one of "alpha/front"
    Then the changes of "alpha/front" are "front-9" added, "front-2" leaving, "front-3" removed
    And the version "rises"

  Scenario: A transition by the rules has no findings
    Given front-3 of "alpha/front" is leaving in the template in force
    When the next template removes front-3 and retires its address
    Then the transition has no findings
    And its address is in quarantine for 600 s

  Scenario: An address that moves is a finding unless its workspace retired it
    When the next template moves the address of front-3 to "beta/front"
    Then the transition has a finding that says "without an entry in retired"
    And the address of front-3 is among the moved

  Scenario: An address that is gone without being retired is a finding
    Given front-3 of "alpha/front" is leaving in the template in force
    When the next template removes front-3
    Then the only transition finding says "has no entry here"

  Scenario: An active target that is removed is a finding
    When the next template removes front-3 and retires its address
    Then the only transition finding says "front-3 is removed without having been leaving"

  Scenario Outline: A quarantine that is cut short is a finding
    Given the template in force retires 127.20.9.9:7001 at its publication
    When the next template comes <seconds> s later and <does> the entry
    Then the transition has <count> findings

    Examples:
      | seconds | does  | count |
      | 599     | drops | 1     |
      | 600     | drops | 0     |
      | 599     | keeps | 0     |
      | 599     | dates back | 1     |

  Scenario: A version that doesn't rise is a finding
    When the next template has the same version
    Then the only transition finding says "doesn't rise above 1"
    And the version "same"
