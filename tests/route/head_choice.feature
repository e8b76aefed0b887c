Feature: Choice of a head

  Scenario Outline: A head at which a probe waits is avoided while another one has room
    Given heads "a", "b" and "c" with <loads> requests of at most 10
    And a probe waits at heads "<probed>"
    Then a request that was sent to heads "<tried>" goes to head "<picked>"

    Examples:
      | loads    | probed | tried | picked |
      | 1 5 9    |        |       | a      |
      | 1 5 9    | a      |       | b      |
      | 1 5 9    | a b    |       | c      |
      | 1 5 9    | a b c  |       | a      |
      | 1 5 9    | a      | b     | c      |
      | 1 10 9   | a c    |       | a      |
      | 1 10 10  | a      |       | a      |

  Scenario: Probes of several entries are spread over the heads that have room
    Given heads "a", "b" and "c" with 1 5 10 requests of at most 10
    And a probe waits at heads ""
    Then 100 probes go to heads "a" and "b", at least 30 to each
