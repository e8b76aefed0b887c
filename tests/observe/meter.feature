Feature: Totals of group downtime and stranded accelerators

  Scenario Outline: Spare accelerators are not stranded
    Given a meter that sees <wanted> groups wanted, <complete> complete, <idle> idle of which <spare> spare
    When 10 s pass
    Then its downtime is <down> s and its stranded time is <stranded> s

    Examples:
      | wanted | complete | idle | spare | down | stranded |
      | 2      | 2        | 3    | 3     | 0    | 0        |
      | 2      | 1        | 3    | 1     | 10   | 20       |
      | 3      | 0        | 0    | 0     | 30   | 0        |
      | 1      | 2        | 0    | 0     | 0    | 0        |

  Scenario: The metrics of an entry start with the two totals
    Then the metrics of a new entry start with group downtime and stranded accelerators

  Scenario: The operators' page explains every metric
    Then every metric is explained in "docs/operators/metrics.md"
