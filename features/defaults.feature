Feature: Library defaults that would break promises are off

  Background:
    Given a platform with 1 upstreams
    And bundle version 1 is published
    And 1 entries in three zones

  Scenario: An upstream that dies mid-body breaks the transfer
    Given upstream "w0" behaves with truncate
    When a caller reads "/rates" as "cut"
    Then there is no whole answer

  Scenario: Another request's answer is dropped, never passed on
    Given upstream "w0" behaves with mix_up
    When a caller reads "/rates" as "mixed"
    Then the answer is status 502 with outcome "unknown"

  Scenario: A booking over a connection that breaks is unknown and not resent
    Given upstream "w0" behaves with break_after_run
    When a caller books as "broken-1"
    Then the answer is status 502 with outcome "unknown"
    And "broken-1" ran exactly 1 time

  Scenario: A shed booking is not run, at once, with a time to come back
    Given upstream "w0" behaves with shed
    When a caller books as "shed-1"
    Then the answer is status 503 with outcome "not-run"
    And the answer says when to come back
    And "shed-1" ran exactly 0 times

  Scenario: A read is not resent by the library when a kept connection drops
    When a caller reads "/rates" as "warm-up"
    Given upstream "w0" behaves with break_after_run
    When a caller reads "/rates" as "dropped"
    Then "dropped" ran exactly 1 time

  Scenario: Redirects, encodings and cookies pass through untouched
    When an echoing upstream is asked for a redirect, a gzip body and a cookie
    Then each came back as the upstream sent it
    And no hop-by-hop header and no secret reached the upstream

  Scenario: The sessions towards upstreams have every default set
    Then both sessions have no total timeout, no cookies, no resend, no unpacking
