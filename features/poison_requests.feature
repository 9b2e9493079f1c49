Feature: Requests that end each upstream that runs them

  Background:
    Given a platform store with a configuration and 0 workers
    And 12 workers that come back as new ones after a crash
    And 3 gateways

  Scenario: The log tells a request that ends workers from workers that end by themselves
    Given a request that ends each worker that runs it
    When it is sent to all gateways again and again
    Then the log names one and the same request at each end of a worker

  Scenario: The log tells workers that end by themselves from a request that ends them
    When workers crash by themselves while different requests run there
    Then the log names different requests
