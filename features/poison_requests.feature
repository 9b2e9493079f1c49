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
