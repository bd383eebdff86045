@deployment
Feature: The commands in the docs

  Scenario Outline: A page's commands do what the page shows
    Given a folder like the repository's root beside the deployment
    When the commands of "<page>" are run in order
    Then each ends as the page says, with the output that it shows

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

  Scenario: No page is left out
    Then every page with console blocks is among the examples
    And the protocols' JSON examples are accepted, and name every interval
