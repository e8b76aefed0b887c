Feature: Targets that fall silent for a second and go on

  Such a target is sound: no answer ends because of it, and no group is dissolved.

  Scenario Outline: A silent group's streams stay complete
    Given a platform with <domains> domains of 6 targets, and an entry
    When <which> is silent for <seconds> s after event 10, and <connections>
    And 12 clients ask for streams of 60 events that may <repeat>
    Then each gets events 1 to 60 and the end
    And no target was told to leave its group
    And all these steps succeed

    Examples: connections are accepted
      | domains | which      | seconds | connections         | repeat     |
      | 1       | a head     | 1.0     | accepts connections | be resumed |
      | 1       | a head     | 1.3     | accepts connections | be resumed |
      | 1       | a head     | 1.3     | accepts connections | run once   |
      | 1       | a member   | 1.3     | accepts connections | run once   |
      | 2       | a head     | 1.3     | accepts connections | run once   |
      | 2       | a head     | 1.3     | accepts connections | be resumed |
      | 2       | every head | 1.0     | accepts connections | be resumed |
      | 2       | every head | 1.3     | accepts connections | be resumed |

    Examples: no connections are accepted
      | domains | which      | seconds | connections            | repeat     |
      | 1       | a head     | 1.3     | accepts no connections | be resumed |
      | 1       | a head     | 1.3     | accepts no connections | run once   |
      | 1       | a member   | 1.3     | accepts no connections | run once   |
      | 2       | a head     | 1.3     | accepts no connections | run once   |
      | 2       | every head | 1.3     | accepts no connections | be resumed |

  Scenario Outline: Streams of groups that are silent again and again stay complete
    Given a platform with <domains> domains of 6 targets, and an entry
    When a head is silent for 1.2 s after each 15 events, and accepts connections
    And 12 clients ask for streams of 60 events that may <repeat>
    Then each gets events 1 to 60 and the end
    And no target was told to leave its group
    And all these steps succeed

    Examples:
      | domains | repeat     |
      | 1       | run once   |
      | 2       | be resumed |

  Scenario Outline: A head that is silent before its first event is waited for
    Given a platform with 1 domains of 6 targets, and an entry
    When a head is silent for 1.6 s after event 0, and accepts connections
    And 12 clients ask for streams of 60 events that may <repeat>
    Then each gets events 1 to 60 and the end
    And no target was told to leave its group
    And all these steps succeed

    Examples:
      | repeat     |
      | run once   |
      | be resumed |

  Scenario: Streams of a silent head go on at another group before it does
    Given a platform with 2 domains of 6 targets, and an entry
    When a head is silent for 3 s after event 10, and accepts connections
    And 12 clients ask for streams of 60 events that may be resumed
    Then each gets events 1 to 60 and the end within 3.5 s
    And all these steps succeed
