# Guards against refusing the callers of gateways that have lost their links to all
# upstreams while other gateways reach them.
Feature: Gateways are cut off from all upstreams

  Background:
    Given a platform store with a configuration and 0 workers
    And 20 workers and 8 gateways with addresses of their own

  Scenario Outline: <who> are cut off, by <how>
    When "<who>" are cut off from all workers, by "<how>"
    Then callers of the gateways cut off are served nearly as often as others
    And no booking ran twice, nor after it was refused as not run
    And no upstream is reported as crashed
    And the directory was never empty

    Examples:
      | who                             | how   |
      | two that serve and one other    | reset |
      | two that serve and one other    | hang  |
      | all that serve and three others | reset |
      | all that serve and three others | hang  |

  Scenario Outline: Requests that need a new connection, <who> cut off by <how>
    Given callers send safe requests, bookings and uploads, for 6 s before the cut
    When "<who>" are cut off from all workers, by "<how>"
    Then callers of the gateways cut off are served nearly as often as others
    And that holds for each kind of request
    And each upload ran with its whole body
    And no booking ran twice, nor after it was refused as not run
    And no upstream is reported as crashed
    And the directory was never empty

    Examples:
      | who            | how    |
      | all that serve | reset  |
      | all that serve | hang   |
      | all that serve | refuse |
      | all but two    | refuse |

  Scenario Outline: Gateways start while they are cut off, by <how>
    Given callers send safe requests, bookings and uploads, for 0 s before the cut
    When "two that serve and one other" start again while they are cut off, by "<how>"
    Then callers of the gateways cut off are served nearly as often as others
    And that holds for each kind of request
    And each upload ran with its whole body
    And no booking ran twice, nor after it was refused as not run
    And the directory was never empty

    Examples:
      | how    |
      | hang   |
      | refuse |

  Scenario: Gateways can open no new connection to one service
    Given callers send requests to another service with 6 workers too, for 4 s before the cut
    When "all that serve" can open no new connection to one service
    Then callers of the gateways cut off are served nearly as often as others
    And that holds for each kind of request
    And each upload ran with its whole body
    And no booking ran twice, nor after it was refused as not run
    And no upstream is reported as crashed

  Scenario: All upstreams of a service refuse connections
    Given callers send requests to another service with 6 workers too, for 4 s before the cut
    When all workers of one service end, and start again later
    Then gateways hand few of the refused requests to each other
    And requests to the other service are served all the time
    And no booking ran twice, nor after it was refused as not run
    And the directory was never empty

  Scenario: A caller leaves while its request is with another gateway
    Given each request takes workers 5 s
    When "two that serve and one other" are cut off, and a caller of the first leaves after 0.3 s
    Then its request was with a worker, which stopped working on it within 0.5 s

  Scenario Outline: All gateways are cut off, by <how>
    When "all" are cut off from all workers, by "<how>"
    Then the directory was never empty
    And no booking ran twice, nor after it was refused as not run
    And requests are served again 1 s after the cut ended

    Examples:
      | how    |
      | reset  |
      | hang   |
      | refuse |
