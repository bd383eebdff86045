Feature: Tracing failures in balancers' logs

  Scenario Outline: The cause of a failed request is found by its id
    Given the logs of a <failure>
    When the request is traced
    Then the cause is "<cause>"

    Examples:
      | failure           | cause                                              |
      | silent target     | found dead: it answers nothing                     |
      | refusing target   | found dead: its host refuses connections           |
      | cut data centre   | no target of the service was believed alive        |
      | full service      | targets of the service had refused flows for lack of room |
      | dropped route     | a configuration removed the route                  |
      | killed balancer   | its balancer tifton-1 ended and started again      |
      | paused balancer   | its balancer tifton-1 stood still, 4000 ms        |
      | late retry        | its caller tried again, 900 ms after flow 100.64.0.7:40000>198.18.0.1:443 had ended: the flow's target was found dead: it answers nothing |
      | restored store    | target is unknown to the platform (at tifton-1, version 7, view_age_ms 120, targets 9, dead 1, target 00000000000000aa); its balancer had followed a restored store for 700 ms: 2 entries changed, 3 kept |
      | restore unseen    | no such route (at tifton-1, version 7, view_age_ms 120, targets 9, dead 1, target 00000000000000aa); the store had come back from a copy 300 ms before |
      | emptied data centre | all data centres with targets of the service were emptied (at tifton-1, version 7, view_age_ms 120, targets 9, dead 1, target 00000000000000aa); tifton had been emptied for 1000 ms by revision 31, known from reader |
      | served request    | sent to target 00000000000000aa, which was believed alive |

  Scenario: The lines include those of the target and none of other flows
    Given the logs of a silent target
    When the request is traced
    Then the events are start, placed, request, trial, target_dead, reset
    And the exit status is 0

  Scenario: A flow, a caller and a target can be traced too
    Given the logs of a silent target
    When the flow is traced
    Then the cause is "found dead: it answers nothing"
    When the caller is traced
    Then the cause is "found dead: it answers nothing"
    When the target is traced
    Then the events are start, trial, target_dead

  Scenario: A slow target's lines say when it was set aside
    Given the logs of a slow target
    When the target is traced
    Then the events are start, spill_started, target_set_aside, target_restored

  Scenario: Unreadable lines are skipped and counted
    Given the logs of a silent target
    And the logs hold a cut line and a line of another program
    When the request is traced
    Then the cause is "found dead: it answers nothing"
    And the output contains "2 lines can't be read"

  Scenario: No cause is found for an unknown request
    Given the logs of a silent target
    When an unknown request is traced
    Then the cause is "no line mentions"
    And the exit status is 1

  Scenario Outline: The balancers serving at a given time are counted
    Given the logs of two balancers of which one <event>
    When an unknown request is traced at <at> s
    Then the cause is "<cause>"

    Examples:
      | event             | at  | cause                                             |
      | is killed         | 2.5 | 1 of 2 balancers were serving then; lost: tifton-1 (the first started again at 1790000003.000) |
      | is killed         | 1.5 | 1 of 2 balancers were serving then; lost: tifton-1 |
      | is killed         | 3.2 | 1 of 2 balancers were serving then; starting: tifton-1 |
      | is killed         | 4.5 | 2 of 2 balancers were serving then                |
      | is told to stop   | 1.5 | 1 of 2 balancers were serving then; stopping: tifton-1 |
      | is told to stop   | 2.5 | 1 of 2 balancers were serving then; ended: tifton-1 |
      | leaves            | 1.5 | 1 of 2 balancers were serving then; out of the rotation: tifton-1 |
      | is paused         | 1.5 | 1 of 2 balancers were serving then; standing still: tifton-1 |
      | is paused         | 0.5 | 2 of 2 balancers were serving then                |
      | is killed         | -9  | no balancer had written a line by then            |
