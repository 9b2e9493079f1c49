Feature: Kills, freezes, outages and races with real processes

  Background:
    Given a platform with 3 upstreams
    And bundle version 1 is published
    And 3 entries in three zones

  Scenario: A new bundle is in force everywhere, and a frozen entry catches up
    Given entry "e0" is frozen
    When bundle version 2 is published
    Then entries "e1,e2" have bundle version 2
    When entry "e0" goes on after 3 seconds
    Then entries "e0,e1,e2" have bundle version 2
    And entry "e0" noticed that it was paused

  Scenario: Two operators publish at the same time
    When two operators publish version 2 at once
    Then exactly one was accepted and the other was told of the conflict
    And entries "e0,e1,e2" have bundle version 2

  Scenario: The answer to a publish is lost
    Given the store loses the next answer
    When bundle version 2 is published
    Then entries "e0,e1,e2" have bundle version 2

  Scenario: Store and host list are out, and requests go on
    Given store and host list are out
    When 200 requests are sent over 2 seconds
    Then every request got its own whole answer

  Scenario: A host that starts during an outage takes the newest from its peers
    When bundle version 2 is published
    Then entries "e0,e1,e2" have bundle version 2
    Given store and host list are out
    When entry "e1" is killed and started again
    Then entries "e0,e1,e2" have bundle version 2

  Scenario: A whole fleet restarted during an outage does not serve
    Given store and host list are out
    When all entries are killed and started again
    Then no entry serves
    When store and host list are back
    Then all entries serve

  Scenario: Two entries killed together
    When 300 requests are sent over 3 seconds while entry "e0" and "e1" are killed
    Then every request got its own whole answer

  Scenario: A booking resent through another host runs once
    When a booking "twice-1" with its own id is sent through all entries at once
    Then "twice-1" ran exactly 1 time
    And every sender got the same answer or was told that it ran

  Scenario: A booking whose entry was killed is unknown, and stays so
    Given upstream "w0" behaves with frozen
    And upstream "w1" behaves with frozen
    And upstream "w2" behaves with frozen
    When a booking "lost-1" is under way through "e0" as it is killed
    And it is sent again through "e1"
    Then the answer is status 502 with outcome "unknown"
    And "lost-1" ran exactly 0 times

  Scenario: A booking with its own id is refused while the store is out
    Given store and host list are out
    When a booking "claim-1" with its own id is sent through "e0" as a first attempt
    Then the answer is status 503 with outcome "not-run"
    And the answer says when to come back
    And "claim-1" ran exactly 0 times

  Scenario: A draining upstream is left alone though the host list does not say so
    Given upstream "w0" behaves with draining
    When 300 requests are sent over 3 seconds
    Then every request got its own whole answer
    And every entry knows that "w0" is leaving

  Scenario: All entries are replaced one by one under load
    When 900 requests are sent over 15 seconds while all entries are replaced
    Then every request got its own whole answer
