Feature: Bad input gets a clear answer and grows no state

  Background:
    Given a platform with 1 upstreams
    And bundle version 1 is published
    And 1 entries in three zones

  Scenario Outline: A malformed request is refused with a machine-readable reason
    When a raw request is sent as <request>
    Then the raw answer is status <status> with reason "<reason>"
    And no upstream ran anything

    Examples:
      | request            | status | reason            |
      | no deadline        | 400    | missing-deadline  |
      | bad deadline       | 400    | bad-deadline      |
      | huge deadline      | 400    | bad-deadline      |
      | unknown service    | 404    | unknown-service   |
      | unknown operation  | 404    | unknown-operation |
      | unknown caller     | 401    | unauthenticated   |
      | wrong key          | 401    | unauthenticated   |
      | nameless with id   | 401    | unauthenticated   |
      | class not granted  | 403    | class-not-granted |
      | two ids            | 400    | two-ids           |
      | forged ticket      | 400    | bad-id            |
      | non-ASCII ticket   | 400    | bad-id            |
      | key of raw bytes   | 401    | unauthenticated   |
      | too many hops      | 431    | bad-header        |

  Scenario Outline: Request smuggling is refused by the parser
    When raw bytes are sent with <framing>
    Then the raw status is 400
    And no upstream ran anything

    Examples:
      | framing                        |
      | two lengths                    |
      | length and chunked             |
      | a malformed length             |
      | a header of 40000 bytes        |

  Scenario: Garbage on the peer port is counted and dropped
    When 200 pieces of garbage are sent to the peer port by UDP and TCP
    Then the entry still serves
    And the entry counted dropped peer messages
    And the entry knows no peers

  Scenario: A count of tickets with thousands of digits is refused
    When a raw request is sent as endless count
    Then the raw status is 400

  Scenario: The operators' pages are not on the callers' port
    When a raw request is sent as operator pages
    Then the raw status is 404
