Feature: Planned stops, whatever their limit is

  # Guards against a stop of 10 s that aborted requests it had accepted late.
  Scenario Outline: <property>
    Then the property "<property>" holds

    Examples:
      | property                                                    |
      | a planned stop aborts only requests from its first 3 s      |
      | a planned stop aborts nothing before its last sixth         |
      | a planned stop accepts requests that are over before its end |

  # Guards against requests that a stop of 10 s accepted up to 7 s and cut at 9.6 s.
  Scenario: A stop of 10 s answers what it accepts late, and refuses the rest
    Given a gateway that may take 10 seconds to stop and requests that take 5 seconds
    When it gets SIGTERM and requests that may run once go on coming for 7 seconds
    Then each request is answered, or refused without a run
    And each request sent 2 seconds after the signal or earlier is answered

  # Guards against requests cut by the end of a stop while they waited for an upstream.
  Scenario: Requests that wait for an upstream when a stop ends are refused
    Given a gateway that may take 4 seconds to stop and an upstream without room
    When it gets SIGTERM while a request waits that may wait 20 seconds
    Then the waiting request is refused with a time to come back before the stop ends
