Feature: The platform's wire

  Scenario: The longest prefix of a host wins
    Given a configuration with routes "/a/" and "/a/b/" of one host
    Then path "/a/b/c" takes route "/a/b/"
    And path "/a/x" takes route "/a/"
    And path "/ab/" takes no route

  Scenario: An unknown kind of route gets the strictest handling
    Given a configuration with a route of kind "novel"
    Then its requests may not be sent again

  Scenario Outline: Entries of another writer name no target
    Then an entry <entry> is skipped

    Examples:
      | entry                                                                        |
      | that is no JSON object                                                       |
      | without an address                                                           |
      | with an address that is a number                                             |
      | with an unknown state                                                        |
      | with an unknown state of its group                                           |

  Scenario: A target's entry is understood, with fields that are new
    Then a listed member is decoded with its group, model and start

  Scenario Outline: A command says no more than its order needs
    When a target is told to <command>
    Then the order's fields are "<fields>"

    Examples:
      | command        | fields                                    |
      | stage a model  | model operation                           |
      | join a group   | epoch group members model operation       |
      | open a group   | epoch group operation                     |
      | close a group  | epoch group mode operation                |
      | leave a group  | epoch group operation                     |

  Scenario: What the client says of account, key and target is not passed on
    Given a request with a key, an account, a deadline and an expected target of its own
    When it is sent to target "t1" for account "acme" with 1.5 s left
    Then the target gets account "acme", target "t1" and 1500 ms
    And it gets no key
    And it gets each of these once

  Scenario: A stream that goes on elsewhere is admitted first
    Given a request with hop-by-hop fields and a field "X-Trace"
    When it is sent on to target "t1" after event 4
    Then the target gets priority 0 and event 4

  Scenario: Fields of one connection are not passed on, all others are
    Given a request with hop-by-hop fields and a field "X-Trace"
    When it is sent to target "t1" for account "acme" with 1.5 s left
    Then the target gets field "X-Trace"
    And it gets no field "Connection" and no field that it names

  Scenario Outline: What the head of an answer says
    Then an answer with <head> is <meaning>

    Examples:
      | head                                  | meaning              |
      | status 503 and the mark of a refusal  | not run              |
      | status 503 without the mark           | perhaps run          |
      | status 421                            | not run              |
      | the id of another request             | not this request's   |
      | a content encoding                    | not the target's own |

  Scenario: Nothing outside the adapter knows the platform's names
    Then no source outside the adapter holds one of the platform's names

  Scenario Outline: Numbers that are none are as if they were not sent
    Given a request whose "<field>" is "<text>"
    Then it is decoded with <seconds> s to wait and event <event>

    Examples:
      | field         | text | seconds | event |
      | deadline-ms   | nan  | 60      | 0     |
      | deadline-ms   | inf  | 60      | 0     |
      | deadline-ms   | soon | 60      | 0     |
      | deadline-ms   | 0    | 0       | 0     |
      | deadline-ms   | 1500 | 1.5     | 0     |
      | last-event-id | nan  | 60      | 0     |
      | last-event-id | 7    | 60      | 7     |
