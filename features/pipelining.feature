Feature: Requests that callers send behind others on one connection

  Background:
    Given a gateway before upstreams that answer when they are told to

  Scenario: Lookups behind another are begun at once and answered in order
    When a caller sends "GET /1", "GET /2" and "GET /3" on one connection
    Then upstreams have got "/1", "/2" and "/3"
    When "/3" and then "/2" and then "/1" is answered
    Then the caller gets three answers, that to "/1" first

  Scenario: What stands behind a request that changes something waits for its turn
    When a caller sends "POST /1", "GET /2" and "GET /3" on one connection
    Then upstreams have got "/1" alone
    When "/3" and then "/2" and then "/1" is answered
    Then the caller gets three answers, that to "/1" first

  Scenario: A connection is closed as planned only when all that was begun is answered
    When a caller sends "GET /1", "GET /2" and "GET /3" on one connection
    And the gateway begins a planned stop and closes its connections
    And "/3" and then "/2" and then "/1" is answered
    Then the caller gets three answers, that to "/1" first
    And its connection is closed after the third

  Scenario: A gateway that stops begins nothing out of turn
    When the gateway begins a planned stop
    And a caller sends "GET /1", "GET /2" and "GET /3" on one connection
    Then upstreams have got "/1" alone

  Scenario: A caller that goes leaves no slot taken
    When a caller sends "GET /1", "GET /2" and "GET /3" on one connection
    And the caller closes its connection
    Then no request is under way any more

  Scenario: One caller has few requests begun out of turn
    When a caller sends thirty lookups on one connection
    Then upstreams have got no more than one and those that may be begun early
