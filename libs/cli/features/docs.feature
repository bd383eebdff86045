@deployment
Feature: Commands in the docs

  Scenario Outline: The commands of a page behave as the page shows
    Given a copy of the repository's layout for the deployment
    When the commands of "<page>" are run in order
    Then each has the exit status and the output that the page shows

    Examples:
      | page                                   |
      | README.md                              |
      | docs/operators/publish-a-template.md   |
      | docs/operators/drain-upstreams.md      |
      | docs/operators/overloaded-upstream.md  |
      | docs/operators/reading-explain.md      |
      | docs/operators/replace-balancers.md    |
      | docs/operators/platform-outage.md      |
      | docs/operators/data-centre-cut-off.md  |
      | docs/PROTOCOLS.md                      |

  Scenario: The example of a controller sends a stop again that wasn't run
    Given a copy of the repository's layout for the deployment
    And targets of "pivot-link" that shed all work
    When they take work again as soon as the example says that its stop wasn't run
    Then it says that the pivot stopped

  Scenario: Every page with commands is tested
    Then every page with console blocks is among the examples
    And the JSON examples of the protocols page are accepted and list every interval
