Feature: Whole sessions kept as text

  Scenario Outline: A session is the same message by message
    When the session <session> is run again
    Then it equals the kept one

    Examples:
      | session             |
      | first_session       |
      | rolling_replacement |
      | crashed_home        |
      | drained_pack        |
      | uneven_template     |
      | cut_centre          |
