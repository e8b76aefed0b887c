Feature: What no kept generation needs is removed

  Scenario Outline: Sections that nobody needs are removed, and none that an acceptance needs
    Then accepting at random with sweeps and seed <seed> keeps every section that is named

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: A section is not removed under an acceptance that is under way
    Then accepting while a sweep runs keeps a section written <when>

    Examples:
      | when                                   |
      | after it was marked                    |
      | before it was marked at the same head  |
