Feature: Lists that the store answers in pages

  Background:
    Given a store with targets "a" to "f", two in a page

  # Guards against requests to a target that began to leave between two pages of the list (DRAIN, review/5).
  Scenario Outline: A change between two pages is in the list or in the watch that follows it
    When <change> after the page that begins <place>
    And the targets are listed
    Then the list holds <result>
    And a watch from the list's revision brings nothing

    Examples: changes of a page that has been read
      | change       | place        | result                                  |
      | "a" leaves   | the list     | "a b c d e f", of which "a" is leaving  |
      | "b" leaves   | the list     | "a b c d e f", of which "b" is leaving  |
      | "a" leaves   | after "b"    | "a b c d e f", of which "a" is leaving  |
      | "a" is gone  | the list     | "b c d e f", of which none is leaving   |
      | "aa" is new  | the list     | "a aa b c d e f", of which none is leaving |
      | "d" leaves   | after "b"    | "a b c d e f", of which "d" is leaving  |

    Examples: changes of a page that is read later
      | change       | place        | result                                  |
      | "c" leaves   | the list     | "a b c d e f", of which "c" is leaving  |
      | "e" is gone  | the list     | "a b c d f", of which none is leaving   |
      | "ee" is new  | the list     | "a b c d e ee f", of which none is leaving |

  Scenario Outline: A change after the last page is in the watch that follows the list
    When <change> after the page that begins after "d"
    And the targets are listed
    Then the list holds "a b c d e f", of which none is leaving
    And a watch from the list's revision brings "<name>"

    Examples:
      | change      | name |
      | "a" leaves  | a    |
      | "f" is gone | f    |

  # Guards against a record that goes back to what it was before a later page was read.
  Scenario: A change that a later page holds is not undone by the one before it
    When "e" leaves and is ready again after the page that begins the list
    And the targets are listed
    Then the list holds "a b c d e f", of which none is leaving
    And a watch from the list's revision brings nothing

  Scenario: A target that came and went between the pages is not listed
    When "ee" is new and gone after the page that begins the list
    And the targets are listed
    Then the list holds "a b c d e f", of which none is leaving
    And a watch from the list's revision brings nothing

  Scenario: A list whose pages can't be caught up with is an error
    When the history is gone after the page that begins the list
    And the targets are listed
    Then the list fails with HISTORY_GONE
