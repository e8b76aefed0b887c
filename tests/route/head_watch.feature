Feature: Detection of stalled groups

  Scenario: A head that sends an event in every pass is healthy
    Given a head with 3 streams that send an event every 50 ms
    When 2 s pass with events
    Then the head is healthy all the time

  Scenario: A head whose streams stop is checked within 200 ms
    Given a head with 3 streams that send an event every 50 ms
    When 1 s passes with events
    And its streams stop sending events
    Then its members are to be checked within 0.2 s
    And the head counts as stalled after 0.8 s whatever they answer

  Scenario: A stalled head is not reported again during the same silence, but is checked
    Given a head with 3 streams that send an event every 50 ms
    When 1 s passes with events
    And its streams stop sending events
    And it is reported as stalled after 0.8 s
    Then it does not count as stalled within 3 s
    And its members are to be checked within 1.2 s

  Scenario Outline: A head that goes on after a silence can stall again
    Given a head with 3 streams that send an event every 50 ms
    When 1 s passes with events
    And its streams stop sending events
    And it is reported as stalled after 0.8 s
    And <end> after 1.2 s
    Then a silence of <silence> s has ended

    Examples:
      | end                        | silence |
      | a stream sends an event    | 1.2     |
      | all its requests are ended | 0       |

  Scenario: The prefill of a prompt makes a pass longer
    Given a head with 3 streams that send an event every 50 ms
    When 1 s passes with events
    And a request with a prompt is sent
    And its streams stop sending events
    Then its members are not to be checked within 0.2 s

  Scenario: Members are checked later when the only request has had no event
    Given a head with 0 streams that send an event every 50 ms
    When a request with a prompt is sent
    Then its members are not to be checked within 0.25 s
    And its members are to be checked within 0.5 s

  Scenario Outline: A head stays healthy until its next evaluation is due
    Given a head with <streams> streams that send an event every 50 ms
    When a request with a prompt is sent
    And its streams stop sending events
    Then it is healthy until the next evaluation and not at it

    Examples:
      | streams |
      | 0       |
      | 3       |

  Scenario: A head without requests is never due
    Given a head with 0 streams that send an event every 50 ms
    Then its next evaluation is never
