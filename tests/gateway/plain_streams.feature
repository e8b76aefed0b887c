Feature: Streams of services without replica groups

  They keep the promises that streams of models keep: the events are passed on in order as they arrive,
  none twice, and after a break the next target goes on where the client's events end.

  # Guards against a resumed stream that begins again with event 1 (ORDER, review/4).
  Scenario Outline: A client that resumes its stream gets only the events that it lacks
    Given a platform with 2 domains of 6 targets, and an entry
    When a client that has <last> of 8 events asks for the rest at "/feed/x"
    Then it gets events <first> to 8 as the rest
    And the target was asked to go on after event "<last>"
    And all these steps succeed

    Examples:
      | last | first |
      | 1    | 2     |
      | 4    | 5     |
      | 7    | 8     |
