Feature: Parts of prompts that crash targets

  Suspects forget a success after 3 s, block a part for 30 s at first, wait 3 s for the probe of a
  blocked part, and hold requests for 1 s while the first request after a crash is the probe.

  Scenario: One crash blocks nothing
    When a request with parts "a g" crashes group 1
    Then a request with parts "a g" is a probe of "a g"
    And a request with parts "b" is admitted

  Scenario: Requests with a part in doubt are held until the first of them has a result
    When a request with parts "a g" crashes group 1
    And a probe of "a g" is sent
    Then a request with parts "b g" is held for 1 s because of "g"
    When a request with parts "a b" succeeds
    Then a request with parts "a b" is admitted
    And a request with parts "b g" is held for 0.9 s because of "g"
    When 1 s go by
    Then a request with parts "b g" is a probe of "g"

  Scenario: The next try of the entry that reports a crash is the probe for the others
    When the crash of group 1 is reported by another entry, for part "g"
    Then a request with parts "g" is held for 1 s because of "g"

  Scenario: A part that waits at a second crash is blocked, and its neighbours that succeed are not
    When a request with parts "a g" crashes group 1
    And a request with parts "a b" succeeds
    And a request with parts "a g" crashes group 2
    Then a request with parts "a g" is refused because of "g"
    And a request with parts "c g" is refused because of "g"
    And a request with parts "a b" is admitted

  Scenario: A crash that several entries report counts once
    When a request with parts "g" crashes group 1
    And the crash of group 1 is reported by another entry, for part "g"
    Then a request with parts "g" is a probe of "g"

  Scenario: Many heads that are lost at once count as one crash
    When requests with parts "s" have waited for 0.5 s at groups 1 to 5, which are lost within 0.1 s
    Then a request with parts "s" is held for 1 s because of "s"

  Scenario: Two crashes that different entries report count if the second request was sent later
    When a request with parts "g" crashes group 1
    And 0.2 s later entry "e2" reports that part "g" waited for <0.1> s at a crash of group 2
    Then a request with parts "g" is refused because of "g"

  Scenario: A report that was long on its way does not hide that a request was sent after a crash
    When entry "e2" saw a crash of group 1 with part "g" at 10.0 s, reported 0.3 s later
    And entry "e2" saw a crash of group 2 with part "g" sent at 10.01 s, at 10.2 s, reported 0 s later
    Then a request with parts "g" is refused because of "g"

  Scenario: A part that succeeded shortly before is not suspected
    When a request with parts "a b" succeeds
    And 1 s go by
    Then of parts "a b g" only "g" is suspected after a crash

  Scenario: A part that succeeded shortly before is not blocked by the reports of others
    When a request with parts "a" succeeds
    And a request with parts "a" waits at crashes of groups 1 and 2, by the reports of another entry
    Then a request with parts "a" is admitted

  Scenario: A part that began to crash targets is suspected again after a while
    When a request with parts "g" succeeds
    And 4 s go by
    And a request with parts "g" crashes group 1
    And a request with parts "g" crashes group 2
    Then a request with parts "g" is refused because of "g"

  Scenario: A sound request that waited at both crashes is the probe that clears its part
    When requests with parts "a g" and "s" wait at crashes of groups 1 and 2
    Then a request with parts "a g s" is refused because of "a"
    And a request with parts "s" is a probe of "s"
    When a request with parts "s" succeeds
    Then a request with parts "s" is admitted
    And a request with parts "a g" is refused because of "a"
    And a request with parts "a b" is a probe of "a"
    When a request with parts "a b" succeeds
    Then a request with parts "a b" is admitted
    And a request with parts "a g" is refused because of "g"

  Scenario: Only one probe of a part is let through at a time
    When requests with parts "g" and "s" wait at crashes of groups 1 and 2
    Then a request with parts "s" is a probe of "s"
    When a probe of "s" is sent
    Then a request with parts "s" is held for 1 s because of "s"
    And a request with parts "g" is held for 1 s because of "g"
    And a request with parts "g s" is refused because of "g"

  Scenario: A third crash frees the parts that were only blocked together with the crashing one
    When requests with parts "a g" and "s" wait at crashes of groups 1 and 2
    And a request with parts "g" crashes group 3
    Then a request with parts "a s" is admitted
    And a request with parts "b g" is refused because of "g"

  Scenario: A sound request that was tried again beside another crashing request is the probe
    When requests with parts "g" and "s" wait at a crash of group 1
    And a request with parts "s" and an older one with parts "g" wait at a crash of group 2
    Then a request with parts "s" is a probe of "s"
    When a request with parts "g" crashes group 3
    Then a request with parts "s" is admitted
    And a request with parts "a g" is refused because of "g"

  Scenario: Two parts that crash targets are blocked independently
    When a request with parts "g" crashes group 1
    And a request with parts "h" crashes group 2
    And a request with parts "g" crashes group 3
    And a request with parts "h" crashes group 4
    Then a request with parts "a g" is refused because of "g"
    And a request with parts "a h" is refused because of "h"

  Scenario: A blocked part is probed once after a time that doubles with each crash
    When a request with parts "g" crashes group 1
    And a request with parts "g" crashes group 2
    And 29 s go by
    Then a request with parts "g" is refused because of "g"
    When 2 s go by
    Then a request with parts "g" is a probe of "g"
    When a probe of "g" is sent
    Then a request with parts "g" is refused because of "g"
    When a request with parts "g" crashes group 3
    And 59 s go by
    Then a request with parts "g" is refused because of "g"
    When 2 s go by
    Then a request with parts "g" is a probe of "g"

  Scenario: Another entry's probe is the only one
    When a request with parts "g" crashes group 1
    And a request with parts "g" crashes group 2
    And 31 s go by
    And another entry reports a probe of "g"
    Then a request with parts "g" is refused because of "g"

  Scenario: A wrong suspicion ends with the first success
    When a request with parts "s" crashes group 1
    And a request with parts "s" crashes group 2
    And 31 s go by
    And a request with parts "s" succeeds
    Then a request with parts "s" is admitted
    And the crash of group 2 reported once more suspects nothing

  Scenario: A part that no request asks for is forgotten at last
    When a request with parts "g" crashes group 1
    And a request with parts "g" crashes group 2
    And 61 s go by
    Then nothing is suspected any more

  Scenario: A request without parts is always admitted
    When a request with parts "g" crashes group 1
    And a request with parts "g" crashes group 2
    Then a request with parts "" is admitted

  Scenario: What is kept is bounded
    When 20000 requests with parts of their own succeed
    And 1000 requests with parts of their own crash a group each
    And one part crashes 100 groups
    Then at most 8192 proven and 256 suspected parts and 16 crashes of a part are kept

  Scenario Outline: In a simulated fleet a part is blocked after few crashes, and nobody else for long
    Given 6 entries that serve 60 requests a second at 20 heads, of which <share> in 100 have a crashing part
    When 30 s are simulated with seed <seed>
    Then at most <crashes> heads have crashed
    And at most 2 in 100 of the sound requests were refused

    Examples:
      | share | seed | crashes |
      | 1     | 1    | 5       |
      | 1     | 2    | 5       |
      | 5     | 3    | 5       |
      | 5     | 4    | 5       |

  Scenario: A crash counts by the request that was sent last, in whatever order it is reported
    When a request with parts "g" crashes group 1
    And 0.2 s later entry "e2" reports that part "g" waited for <0.4> s at a crash of group 2
    And 0 s later entry "e3" reports that part "g" waited for <0.1> s at a crash of group 2
    Then a request with parts "g" is refused because of "g"

  Scenario: A sound part that waited at the crashes of two others is let through to find out
    When requests with parts "g" and "f" wait at the crash of group 1
    And requests with parts "h" and "f" wait at the crash of group 2
    And a request with parts "g" crashes group 3
    And a request with parts "h" crashes group 4
    And 2 s go by
    Then a request with parts "g b" is refused because of "g"
    And a request with parts "f b" is a probe of "f"

  Scenario: A blocked part is not forgotten for parts that waited at one crash
    When a request with parts "g" crashes group 1
    And a request with parts "g" crashes group 2
    And 300 parts wait at crashes of 30 heads that are lost at once
    Then a request with parts "g" is refused because of "g"
