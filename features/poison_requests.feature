# An upstream that ran one certain request ended. The gateway took the lost connection for
# a fault of the upstream and sent the request to a second one at once, which ended too;
# the caller, or another one, sent it again, under a new id and to any gateway, and no
# gateway knew of the ends before. 42 upstreams ended under one request, 16 of them after
# three had ended and every gateway had had three seconds to learn of it.
#
# These lines of two gateways settled it: other upstreams each time, first tries and
# retries alike, and one and the same fingerprint.
#
#   node-1 E606 upstream=i-51 fingerprint=de0addea8504cb6e7a1f192a kind=retry
#   node-2 E606 upstream=i-53 fingerprint=de0addea8504cb6e7a1f192a kind=first
#   node-3 E606 upstream=i-52 fingerprint=de0addea8504cb6e7a1f192a kind=first
#
# Upstreams that end by themselves give as many fingerprints as ends. The budget of
# retries was not used up (extra_left=14.9), and bounds no first try.
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

  Scenario: A request that ends what runs it is not sent on and on
    Given a request that ends each worker that runs it
    When it is sent to all gateways again and again
    Then few workers get it once it has ended three and gateways had time to know
    And each of the last 20 times it is refused at once, as not run, with a time to come back

  Scenario: The same path with another body, and a popular request, are served meanwhile
    Given a request that ends each worker that runs it
    When it, the same path with another body and a popular request are sent side by side
    Then all but the first are served in full once it has ended three workers
    And only the first was quarantined

  Scenario: Of a request that may not be repeated and ends workers few more get it, too
    Given a request that may not be repeated and ends each worker that runs it
    When it is sent to all gateways again and again
    Then few workers get it once it has ended three and gateways had time to know

  Scenario: Workers that end without a reset of their connections
    Given a request that ends each worker that runs it
    And crashes that leave connections silent for good
    When it is sent to all gateways again and again
    Then few workers get it once it has ended three and gateways had time to know

  Scenario: Two requests that end workers at the same time
    Given a request that ends each worker that runs it
    And another one that does
    When both are sent to all gateways again and again
    Then few workers get either once it has ended three and gateways had time to know

  Scenario: Gateways that start again all at once still know it
    Given a request that ends each worker that runs it
    When it is sent to all gateways again and again
    And all gateways are killed and started again
    And it is sent to all gateways again and again
    Then few workers get it once it has ended three and gateways had time to know

  Scenario: An operator lets a request through again
    Given a request that ends each worker that runs it
    When it is sent to all gateways again and again
    And it ends no worker any more and its record is deleted
    And it is sent to all gateways again and again
    Then the last 20 of it are served

  Scenario Outline: A popular request on workers that end by themselves is served and never quarantined
    When workers crash by themselves, <at once> at the same moment, while a popular request runs there
    Then the popular request is served but for 1 in <one in>
    And nothing was quarantined

    Examples:
      | at once | one in |
      | 1       | 100    |
      | 3       | 20     |
