# Guards against configurations in force too late where open connections to the store
# go silent without a reset.
Feature: Open connections go silent

  Background:
    Given a platform store with a configuration and 0 workers

  Scenario: A configuration changes while connections to the store are silent
    Given 2 workers and 6 gateways that are ready
    When all open connections to the store go silent 2 times, and the configuration changes every second
    Then each version is in force everywhere 2 s after its acknowledgement, or 3 s after a silence began

  # Each silent connection in the pool would cost one more call and its time limit.
  Scenario: Idle connections to the store are silent
    When a client's 3 idle connections to the store go silent
    Then only its next call fails
