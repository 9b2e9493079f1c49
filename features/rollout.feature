Feature: A new version of a service takes over, or is taken back

  Background:
    Given a platform store with a configuration and 3 workers
    And 2 gateways
    And 3 workers of a new version

  Scenario: A good version is tried, promoted and completed in time
    When the operator orders it within 5 s while requests are sent
    Then the order is "completed" in time
    And its status was "running" before, and was written 2 times
    And until then no more than its share went to the new version
    And nothing runs on the old workers then
    And all requests were answered

  Scenario: A version that fails is taken back at once
    Given the new version fails all requests
    When the operator orders it within 5 s while requests are sent
    Then the order is "rolled_back" in time
    And no more than 20 requests ran on the new version
    And all requests were answered
    And explain tells from the logs that failures were the reason

  Scenario: Where the gateway that decides dies, another one goes on
    Given a third gateway
    When the operator orders it within 6 s, and the gateway that decides is killed
    Then the order is "completed" in time
    And its status was "running" before, and was written 2 times
    And nothing runs on the old workers then
