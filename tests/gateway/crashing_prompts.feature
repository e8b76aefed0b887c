Feature: Prompts that crash targets, through an entry

  Scenario: A part that crashes heads is refused after two crashes, and sound prompts are served
    Given a platform with 4 domains of 6 targets, and an entry
    When a client sends a request with parts "first other"
    And prompts with part "dead" crash the head that writes an answer to them
    And clients send 6 requests with parts "first dead", one after the other
    Then 2 heads have crashed
    And the last 5 requests were refused as not run, with code 2008 and no time to retry
    When a client sends a request with parts "first other"
    Then it gets events 1 to 8 and the end
    And the metrics page counts 1 blocked part
    And all these steps succeed

  Scenario Outline: A head that crashes after the beginning of its answer is noticed
    Given a platform with 8 domains of 6 targets, and an entry
    When heads that crash first send <beginning>
    And prompts with part "dead" crash the head that writes an answer to them
    And clients send 4 requests with parts "first dead", one after the other
    Then 2 heads have crashed
    And no answer looks complete
    And all these steps succeed

    Examples:
      | beginning                         |
      | an unframed answer                |
      | an unframed answer with one event |
      | an answer in chunks with one event |

  Scenario: A sound part that was only seen beside the crashing one is cleared by its next request
    Given a platform with 4 domains of 6 targets, and an entry
    When prompts with part "dead" crash the head that writes an answer to them
    And clients send 3 requests with parts "first dead", one after the other
    And a client sends a request with parts "first other"
    Then it gets events 1 to 8 and the end
    When clients send 6 requests with parts "first dead", one after the other
    Then 2 heads have crashed
    And the last 6 requests were refused as not run, with code 2008 and no time to retry
    And all these steps succeed

  Scenario: A sound request that waited at a crash is served, and so is the next one
    Given a platform with 4 domains of 6 targets, and an entry
    When prompts with part "dead" crash the head that writes an answer to them
    And clients send requests with parts "first dead", "new" and "newer" at once
    Then the requests with parts "new" and "newer" are served within 2 tries
    When a client sends a request with parts "new"
    Then it gets events 1 to 8 and the end
    And all these steps succeed

  Scenario: A head that drops an answer without crashing blocks nothing
    Given a platform with 2 domains of 6 targets, and an entry
    When heads drop the next 4 answers
    And clients send 2 requests with parts "first second", one after the other
    And a client sends a request with parts "first second"
    Then it gets events 1 to 8 and the end
    And all these steps succeed

  Scenario: The groups of crashed heads are formed again before the platform misses the heads
    Given a platform with 4 domains of 6 targets, and an entry
    When prompts with part "dead" crash the head that writes an answer to them
    And clients send 1 requests with parts "first dead", one after the other
    Then 2 heads have crashed
    And 4 groups serve again within 2 s
    And all these steps succeed

  Scenario: A head that refuses new connections while its streams go on has not crashed
    Given a platform with 1 domains of 6 targets, and an entry
    When during a stream of 60 events its head drops another answer and accepts no more connections
    Then it gets events 1 to 60 and the end
    And no group was reported as lost
    And all these steps succeed
