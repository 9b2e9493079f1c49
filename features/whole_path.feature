Feature: The whole path in separate processes

  Background:
    Given a platform with 3 upstreams
    And bundle version 1 is published
    And 3 entries in three zones

  Scenario: A request gets its own whole answer
    When a caller reads "/rates?size=100000" as "whole-answer"
    Then the answer is status 200 with outcome "ran"
    And the answer is whole and its own

  Scenario: A booking gets its own answer and runs once
    When a caller books as "split-1"
    Then the answer is status 200 with outcome "ran"
    And "split-1" ran exactly 1 time

  Scenario: Many callers at once each get their own answer
    When 300 requests are sent over 2 seconds
    Then every request got its own whole answer

  Scenario: A planned stop under load loses nothing
    When 600 requests are sent over 6 seconds while entry "e1" is stopped as planned
    Then every request got its own whole answer
    And entry "e1" ended with code 0

  Scenario: A killed entry is survived by repeatable requests
    When 400 requests are sent over 4 seconds while entry "e1" is killed
    Then every request got its own whole answer

  Scenario: A long upload outlives a planned stop
    When a slow upload of 3 seconds is sent through entry "e0" which is stopped as planned
    Then the answer is status 200 with outcome "ran"
    And entry "e0" ended with code 0
