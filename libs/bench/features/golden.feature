Feature: Golden files of sessions

  Scenario Outline: A session matches its golden file message by message
    When the session <session> is run
    Then it equals the golden file

    Examples:
      | session             |
      | first_session       |
      | rolling_replacement |
      | crashed_home        |
      | drained_pack        |
      | uneven_template     |
      | cut_centre          |
