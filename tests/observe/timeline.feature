Feature: The time line merges logs in causal order

  Scenario: A request is followed from entry to target and back
    Given the events of a simulated deployment that answers one completion
    When they are merged and filtered by the request
    Then they stand in the order "request.begin, request.send, target.request, target.end, request.end"

  Scenario: A line that a kill cut off is counted and skipped
    Given a log with one event and half a line
    When galenavane runs "timeline {folder}/cut.log --format HTML"
    Then it exits with 0
    And its page contains "entry.start" and its summary is "1 of 1 events, 1 other lines"

  Scenario: A stamp far ahead does not run the clock away
    Then a clock that receives a stamp an hour ahead keeps its own time

  Scenario: Text of callers can't break out of the page
    Then a time line page with a field "<script>" contains no script

  Scenario: A log that does not exist
    When galenavane runs "timeline {folder}/none.log"
    Then it exits with 2 and one line that contains "does not exist"
