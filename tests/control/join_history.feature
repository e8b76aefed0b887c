Feature: Joins that a target may still carry out

  Scenario Outline: A target is known to be free by what it has accepted and answered
    Given a target that <past>, under a holder whose epochs begin at 100
    Then it is <result> for a new join

    Examples:
      | past                                                                         | result               |
      | was told nothing                                                             | not known to be free |
      | accepted 101                                                                 | not known to be free |
      | accepted 101, is listed as standby in 101                                    | known to be free     |
      | accepted 102, is listed as standby in 101                                    | not known to be free |
      | accepted 101, left 101                                                       | known to be free     |
      | accepted 101, left 101, accepted 102                                         | not known to be free |
      | accepted 57, left 57                                                         | not known to be free |
      | accepted 101, left 101, was sent 102                                         | not known to be free |
      | accepted 101, left 101, was sent 102, refused 102                            | known to be free     |
      | accepted 101, left 101, was sent 102, accepted 103, left 103                 | known to be free     |
      | was sent 101, was sent 101, answered 101, left 101                           | not known to be free |
      | was sent 101, was sent 101, answered 101, accepted 102, left 102             | known to be free     |
      | was sent 101, was sent 102, answered 102, left 102                           | known to be free     |
      | was sent 102, was sent 101, answered 101, left 101                           | not known to be free |
      | was sent 101, was sent 101 with a count, answered 101 with a count, left 101 | not known to be free |
      | was sent 101 with a count, was sent 101 with a count, accepted 101, left 101 | known to be free     |
      | was sent 102 with a count, accepted 101, left 101                            | not known to be free |
      | accepted 101, left 101, was sent 101 with a count                            | not known to be free |
      | accepted 101, left 101, restarted                                            | not known to be free |
      | accepted 101, is told to leave 101, was sent 101, refused 101, left 101      | not known to be free |
      | accepted 101, was sent 102, is told to leave 101, refused 102, left 101      | not known to be free |

  Scenario Outline: A join is confirmed only by a report of the state that it was decided on
    Given a join of a target that was listed <listed>
    When the target reports that it is <reported>
    Then the confirmed join is <result>

    Examples:
      | listed                | reported                          | result                       |
      | in no group           | in no group, with 4 commands      | sent with 4 expected commands |
      | in the group s        | in the group s, with 5 commands   | sent with 5 expected commands |
      | in no group           | in the group s, with 5 commands   | not sent                     |
      | in the group s        | in no group, with 5 commands      | not sent                     |
      | in no group           | in no group after a restart       | not sent                     |
      | in no group           | in no group, with no count        | not sent                     |

  Scenario Outline: A join of an epoch that was accepted or left meanwhile is not sent
    Given a target that <past>, under a holder whose epochs begin at 100
    Then a join of 102 <result> be sent to it

    Examples:
      | past                                | result  |
      | was told nothing                    | may     |
      | accepted 101                        | may     |
      | accepted 102                        | may not |
      | accepted 102, left 102              | may not |
      | accepted 103                        | may not |
