Feature: Callers that give up before they have an answer

  Background:
    Given a gateway before upstreams that answer when they are told to

  Scenario: A caller that gives up while it waits for room reaches no upstream
    When callers take all the room of the upstreams and one more waits
    And the caller that waits closes its connection
    Then nobody waits for room any more
    When all that is under way is answered
    Then no request is under way any more
    And upstreams have not got what the caller that left had sent

  Scenario: A caller that gives up is replaced by the next that waits
    When callers take all the room of the upstreams and one more waits
    And another caller waits behind it
    And the caller that waits closes its connection
    And all that is under way is answered
    Then the caller that waited behind it gets its answer
    And no request is under way any more
    And upstreams have not got what the caller that left had sent
