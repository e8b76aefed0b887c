Feature: Whether a target may be sent requests

  Scenario Outline: The reason that binds most is given
    Given a listed target
    When <events>
    Then it is not sent requests because it is "<reason>", and that is <kind>

    Examples:
      | events                                       | reason        | kind        |
      | it is suspected                              | suspected     | not binding |
      | it is suspected and paused                   | paused        | not binding |
      | it is suspected and asked to wait            | asked to wait | binding     |
      | it asked to wait and leaves                  | leaving       | binding     |
      | it is listed at another address              | not listed    | binding     |
      | it leaves and is no longer listed            | not listed    | binding     |

  Scenario Outline: How long a target is left alone
    Given a listed target
    When it asks to be left alone for <asked> s
    Then it is left alone for <time> s

    Examples:
      | asked | time |
      | 0.25  | 0.25 |
      | 2     | 2    |
      | 1e30  | 3600 |

  Scenario: A new incarnation is not bound by what the former one asked for
    Given a listed target
    When it asks to be left alone for 5 s
    And it is listed with a new start
    Then it may be sent requests

  Scenario: A target that has said that it leaves stays so whatever its record says
    Given a listed target
    When it says that it leaves
    And its record is listed as ready again
    Then it is not sent requests because it is "leaving", and that is binding
    When it is listed with a new start
    Then it may be sent requests

  Scenario: The end of its record ends what a target has said
    Given a listed target
    When it says that it leaves
    And its record ends and it is listed again
    Then it may be sent requests

  Scenario: Old wishes are forgotten
    Given a listed target
    When 1000 other targets ask to be left alone for 1 s each, one after the other
    Then 2 wishes are kept at most
