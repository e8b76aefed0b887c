Feature: Odd objects of other writers among those that entries read

  An object that can't be decoded names nothing to use, and hides none of the others.

  # Guards against lists and watches that fail as a whole for one object (review/1).
  Scenario Outline: The other targets are listed, and their changes are seen
    Given a store with targets "a" to "f", two in a page
    When another writer puts <what> as "<name>" among the targets
    And the targets are listed
    Then the list holds "a b c d e f", of which none is leaving
    When "c" leaves, and another writer puts <what> as "<name>" again
    Then a watch from the list's revision brings "c" as leaving

    Examples:
      | what                          | name |
      | a text that is no UTF-8       | a1   |
      | a text that is no UTF-8       | x    |
      | lists nested 300 deep         | a1   |
      | lists nested 3000 deep        | a1   |
      | lists nested 8000 deep        | x    |
      | slots of 10**30               | x    |
      | a number of 5000 digits       | a1   |
      | null                          | a1   |
      | texts that look like brackets | a1   |

  Scenario Outline: An object whose name can't be decoded is left out
    Given a store with targets "a" to "f", two in a page
    When another writer puts lists nested 8000 deep under a name that is no UTF-8 <place>
    And the targets are listed
    Then the list holds "a b c d e f", of which none is leaving

    Examples:
      | place       |
      | after "a"   |
      | after "f"   |

  Scenario Outline: The configuration is read and watched beside an odd object of its kind
    Given a store with targets "a" to "f", two in a page
    When another writer puts <what> as "x" among the configurations
    Then the configuration can be read
    When the configuration changes, and another writer puts <what> as "x" again
    Then the change of the configuration is seen

    Examples:
      | what                    |
      | a text that is no UTF-8 |
      | lists nested 8000 deep  |

  Scenario Outline: An entry serves, and sees what changes, beside odd objects
    Given a platform with 0 domains of 0 targets, and an entry
    When another writer puts <what> as "x" among the <kind>
    And a plain target is leaving
    Then 4 orders all go to the other plain target
    And no task of the entry has failed
    And all these steps succeed

    Examples:
      | what                          | kind           |
      | a text that is no UTF-8       | targets        |
      | lists nested 8000 deep        | targets        |
      | slots of 10**30               | targets        |
      | a text that is no UTF-8       | entries        |
      | lists nested 8000 deep        | entries        |
      | an address that is none       | entries        |
      | a text that is no UTF-8       | configurations |
      | lists nested 8000 deep        | configurations |
      | a version of 10**30           | configurations |
      | a token of 10**30             | leases         |
      | lists nested 8000 deep        | leases         |
