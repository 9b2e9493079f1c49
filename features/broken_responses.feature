Feature: Responses that are not valid HTTP are no answers

  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                 |
      | a response with an invalid status line is no answer      |
      | a response with an invalid field line is no answer       |
      | a response with an unknown transfer coding is no answer  |
      | a response with a broken chunk or trailer is not whole   |
      | a valid response is read whole however it is split       |
      | a response to HEAD is checked like any other             |
      | sessions of others in the same process stay lenient      |
      | what is read as a response is one by RFC 9112            |
      | no reader takes an invalid status line for an answer     |
      | no reader takes an invalid field line for an answer      |
      | no reader takes an unknown transfer coding for an answer |
      | no reader waits for the rest of a broken body            |
      | each reader takes a valid response                       |
      | a response that names two requests or stamps is foreign  |
      | an upstream that sends no valid response is alive        |
      | the client library takes no invalid response for one     |

  Scenario Outline: <what> from one worker is covered for requests that may be repeated
    Given a platform store with a configuration and 3 workers
    And 2 gateways
    And one worker sends "<what>" in place of each second answer
    When requests GET "/read/x" are sent until the worker has sent some of these
    Then all of them get status 200 with their own target

    Examples:
      | what                         |
      | status 000                   |
      | status 000 without a reason  |
      | status 101                   |
      | status 600                   |
      | another protocol             |
      | a blank before a name        |
      | a blank before another stamp |
      | a blank before a length      |
      | a blank before a promise     |
      | a blank in a name            |
      | a control byte in a name     |
      | a control byte in a value    |
      | the coding gzip              |
      | a broken chunk               |

  Scenario Outline: <what> is never an answer to what may run once
    Given a platform store with a configuration and 3 workers
    And 1 gateways
    And all workers send "<what>" in place of their answers
    When a client sends POST "/book/x" as "booking"
    Then the client gets status 502
    And "booking" ran 1 times
    And the answer bears a stamp only if a worker gave that status

    Examples:
      | what                         |
      | status 000                   |
      | status 000 without a reason  |
      | status 101                   |
      | status 600                   |
      | another protocol             |
      | a blank before a name        |
      | a blank before another stamp |
      | a blank before a length      |
      | a blank before a promise     |
      | a blank in a name            |
      | a control byte in a name     |
      | a control byte in a value    |
      | the coding gzip              |
      | a broken chunk               |

  Scenario Outline: A worker that sends <what> even to health checks has not ended
    Given a platform store with a configuration and 3 workers
    And 2 gateways
    And <count> of the workers send "<what>" to requests and health checks
    When 60 requests GET "/read/x" are sent
    Then no request is suspected of having ended its worker
    And no gateway takes itself for cut off from its workers

    Examples:
      | what                      | count |
      | status 000                | 1     |
      | status 000                | 3     |
      | a control byte in a value | 1     |
      | a control byte in a value | 3     |
