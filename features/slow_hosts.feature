# Guards against a fleet that serves nobody after all of its gateways were lost: hosts
# with too little processor time for all callers, and no request refused.
Feature: Gateways have too little processor time for all of their callers

  Background:
    Given a platform store with a configuration and 0 workers
    And 12 workers and 3 gateways whose processor time is known

  Scenario: Overloaded gateways serve what they can and refuse the rest at once
    When hosts become so slow that gateways can serve a third of what callers send
    Then a quarter of the requests is served in each second
    And most of the other requests are refused, not left until their deadline

  Scenario: Gateways that were all killed return on hosts that can't serve all callers
    When all gateways are killed, and hosts can then serve a third of what callers send
    Then a quarter of the requests sent 15 s after the return or later is served
    And most of the other requests are refused, not left until their deadline

  Scenario: Hosts that are slow, but not too slow, refuse nothing
    When hosts become so slow that gateways can serve four times what callers send
    Then nearly all requests are served
