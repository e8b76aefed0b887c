Feature: Damaged input never does more than it may

  Scenario Outline: A damaged <parser> is refused in the way that is declared
    Then 300 mutations of the corpus of "<parser>" are parsed or refused as declared

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
