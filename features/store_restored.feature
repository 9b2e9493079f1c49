# Guards against upstreams that leave and get requests on after the store was restored from
# a copy, and its revisions went back.
Feature: The store comes back from a copy some seconds old

  Background:
    Given a platform store with a configuration and 0 workers
    And 12 workers, 6 gateways and 90 requests a second spread over all of them
    And another key that is written 12 times a second

  Scenario: Workers leave after the store was restored
    When the store is restored from a copy 4 s old, then 2 workers leave
    Then no request reaches one of them 2.5 s after its leaving was known

  Scenario: Gateways reach the store again when its revisions have passed those of before
    When the store is restored from a copy 4 s old, and 2 workers leave before gateways reach it at a higher revision than before
    Then no request reaches one of them 2.5 s after its leaving was known

  Scenario: Gateways stand still in turn while the store is restored
    When the store is restored from a copy 4 s old while gateways are frozen in turn, then 2 workers leave
    Then no request reaches one of them 2.5 s after its leaving was known
