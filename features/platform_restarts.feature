Feature: Workers that start again, and entries of other writers, against stand-ins

  Background:
    Given a platform store with a configuration and 3 workers
    And 2 gateways
    And all workers tell when they started

  Scenario: What failed on a worker counts no longer once it has started again
    Given one worker is "lost"
    When 30 requests GET "/read/x" are sent
    And that worker starts again under its id
    Then that worker runs requests again within 3 seconds

  Scenario: What ran on a worker that starts again runs nowhere else, and is not denied
    Given all workers are "hang"
    When a client's POST "/book/x" as "booking" is under way
    And the worker that runs "booking" starts again under its id
    Then that client gets status 502
    And "booking" ran 1 times

  Scenario: A worker's address goes to another service behind a cut, and its id elsewhere
    When the store is "silent" for a while
    And a worker's address is taken by one with another id
    And 20 requests GET "/read/x" are sent
    Then all of them get status 200 with their own target
    When the store is sound again
    And the first one starts again under its id at another address
    # A lost answer is seen after 3.4 s, a reading begins 0.8 s later and may take 1.5 s.
    Then that worker runs requests again within 8 seconds
    And the new worker ran nothing

  Scenario Outline: An entry of another writer takes its worker out of use
    When in place of a worker's entry another writer puts "<odd>"
    Then that worker gets nothing new after 1.5 seconds
    When its entry is good again
    Then that worker runs requests again within 3 seconds

    Examples:
      | odd                    |
      | bytes that are no text |
      | an unknown state       |
