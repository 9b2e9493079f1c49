Feature: Faults of requests, pools and loops that must not come back

  Scenario: A deadline that passes during a long answer breaks its connection off
    Given upstreams whose long answer comes to a halt half way
    When the deadline passes while the answer is passed on
    Then the caller gets no second response within the first
    And its connection is broken off

  Scenario: A long answer never says wrongly that its request has not run
    Then a long answer that only looks like a refusal becomes a failure

  Scenario: A streamed body is not sent again after an answer that is cut
    Given upstreams whose answer is cut
    When a caller sends a repeatable request whose body is streamed
    Then upstreams got it once, with its whole body

  Scenario: A streamed body is not sent again after an answer that is a failure
    Given upstreams that answer with a failure
    When a caller sends a repeatable request whose body is streamed
    Then upstreams got it once, with its whole body

  Scenario: A caller that gives its request an endless time is served
    Given upstreams that answer well
    When a caller gives its request an endless time
    Then it is served like that of a caller that states none

  Scenario: Foreign answers are covered by other upstreams as long as the budget lasts
    Given upstreams whose first answer to each request is a foreign one
    When the budget allows 3 retries and 5 lookups are sent
    Then the first 3 get a good answer and the others are told of the foreign one

  Scenario: A process that stood still while it connected does not blame the upstream
    Given a sound upstream
    When the process stands still at each step of connecting to it
    Then the upstream answers each time

  Scenario: An upstream gets its trial request soon after its ejection
    Given an upstream of an owned pool whose ejection has ended
    When a call comes before the next tick of the pool
    Then the upstream gets its trial request and is active again

  Scenario: A control loop of an entry that fails is logged and begun anew
    Given an entry whose reading of the host list fails for a while
    When the host list can be read and has changed
    Then the entry has the changed host list
    And it logged that a control loop failed
