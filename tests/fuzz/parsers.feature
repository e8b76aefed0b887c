Feature: Parsers reject damaged input only with their declared errors

  Scenario Outline: Mutations of <parser> are parsed or rejected with a declared error
    Then 300 mutations of the corpus of "<parser>" are parsed or rejected as declared

    Examples:
      | parser          |
      | peer_message    |
      | clock           |
      | address         |
      | completion_body |
      | resume_token    |
      | head            |
      | registration    |
      | record          |
      | table           |
      | log_line        |
      | declarations    |
      | load_profile    |
      | target_stream   |
