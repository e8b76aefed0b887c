Feature: Removal of sections that no kept generation references

  Scenario Outline: Sweeps during random changes remove only unreferenced sections
    Then random concurrent changes with sweeps and seed <seed> keep every referenced section

    Examples:
      | seed |
      | 1    |
      | 2    |

  Scenario Outline: A section is not removed during an acceptance that names it
    Then accepting while a sweep runs keeps a section written <when>

    Examples:
      | when                                   |
      | after it was marked                    |
      | before it was marked at the same head  |
