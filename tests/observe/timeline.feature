Feature: The timeline merges logs in causal order

  Scenario: A request is followed from entry to target and back
    Given the events of a simulated deployment that answers one completion
    When they are merged and filtered by the request
    Then they are in the order "request.begin, request.send, target.request, target.end, request.end"

  Scenario: A line cut off when the process was killed is skipped and counted
    Given a log with one event and half a line
    When galenavane runs "timeline {folder}/cut.log --format HTML"
    Then it exits with 0
    And its page contains "entry.start" and its summary is "1 of 1 events, 1 other lines"

  Scenario: A stamp far ahead does not advance the clock
    Then a clock that receives a stamp an hour ahead keeps its own time

  Scenario: Text from callers is escaped in the page
    Then a timeline page with a field "<script>" contains no script

  Scenario: A log that does not exist
    When galenavane runs "timeline {folder}/none.log"
    Then it exits with 2 and one line that contains "does not exist"
